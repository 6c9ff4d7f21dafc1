/**
 * Loads one controller with stand-ins for the state service, the cloud and a fleet of workers, for
 * profiling: `node target/testing/load.js MACHINES SECONDS [node options]`. Prints processor time.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { nodeRuntime, type Job, type MachineType } from '#wire';
import { aJob } from './samples.js';
import {
  CloudService,
  Fleet,
  FREE_LOOPBACK_PORT,
  GangNetwork,
  JobStorage,
  LateReports,
  QUICK_BOOTS,
  ReplyLoss,
  StateService,
  Users,
  type PlannedJob,
} from './standins/index.js';

const LOOPBACK = '127.0.0.1';
const FIRST_WORKER_PORT = 20_000;
const STATE = { rps: 500, writeRps: 180, valueKb: 8, txnOps: 24 };
const CLOUD = { rps: 8, listLagS: 4 };
const TIMES = { reportS: 2.5, leaseS: 15.25, gangWaitS: 45, gangPeerS: 8 };
const TYPE: MachineType = {
  name: 'std',
  cpus: 96,
  gpus: 8,
  memory: 384,
  cacheGb: 600,
  fetchGbPerS: 5,
  price: 20,
  spotPrice: 6,
  bootS: 60,
  zones: ['a', 'b', 'c'],
};

const [machines, seconds, ...nodeOptions] = process.argv.slice(2);
const listen = `${LOOPBACK}:18080`;
const controllers = [{ name: 'c-0', address: listen }];
const observer = () => {};
const storage = new JobStorage(observer);
const fleet = new Fleet({
  surroundings: {
    times: TIMES,
    controllers,
    storage,
    gangs: new GangNetwork(nodeRuntime),
    observer,
    lateReports: new LateReports(nodeRuntime),
    lateCommands: new ReplyLoss(nodeRuntime),
  },
  addressOf: (number) => ({ host: LOOPBACK, port: FIRST_WORKER_PORT + number }),
  hostFor: () => ({ runtime: nodeRuntime, powerOff: () => {} }),
});
const state = new StateService(nodeRuntime, STATE);
const capacity = [{ machines: Number(machines) }];
const cloud = new CloudService(nodeRuntime, { types: [TYPE], capacity, ...CLOUD }, fleet);
cloud.setBootProfile(QUICK_BOOTS);
const stateAt = (await state.listen(FREE_LOOPBACK_PORT)).target;
const cloudAt = (await cloud.listen(FREE_LOOPBACK_PORT)).target;
const dir = mkdtempSync(path.join(tmpdir(), 'sorreldale-load-'));
const file = path.join(dir, 'settings.toml');
writeFileSync(
  file,
  `host_name = "c-0"
zone = "a"
listen = "${listen}"
cluster_listen = "127.0.0.1:18081"
[external]
cloud = "${cloudAt}"
state = "${stateAt}"
[deployment]
nodes = 1
zones = ["a", "b", "c"]
[[deployment.teams]]
name = "red"
[[deployment.objectives]]
kind = "wait"
class = "replica"
within_s = 4.0
[deployment.workers]
report_s = ${TIMES.reportS}
lease_s = ${TIMES.leaseS}
gang_wait_s = ${TIMES.gangWaitS}
gang_peer_s = ${TIMES.gangPeerS}
cancel_s = 35.0
[deployment.state]
rps = ${STATE.rps}
write_rps = ${STATE.writeRps}
value_kb = ${STATE.valueKb}
txn_ops = ${STATE.txnOps}
[deployment.cloud]
rps = ${CLOUD.rps}
list_lag_s = ${CLOUD.listLagS}
[deployment.limits]
cpu_share = 0.782
memory_mb = 250.0
sockets = 2153
`,
);
const child = spawn(process.execPath, [...nodeOptions, 'target/cli/launch.js', '--config', file], {
  stdio: 'inherit',
});
const cpuS = () => {
  const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1].split(' ');
  return (Number(fields[11]) + Number(fields[12])) / 100;
};

const RUN_S = 60;
const START_S = 2;
const ROUND_S = 5;
let planned = 0;

/** Jobs of one kind; a service stands until the end. */
function plan(count: number, atS: number, own: (index: number) => Partial<Job>): PlannedJob[] {
  return Array.from({ length: count }, (_, index) => {
    const job = aJob({ gpus: 1, ...own(index), id: `j-${String(++planned).padStart(6, '0')}` });
    const program = { job, runS: Array<number>(job.tasks).fill(RUN_S), failsAfterS: null };
    return { program, submitAtS: atS, cancelAfterS: null, repeatAfterS: null };
  });
}

const replica = (index: number): Partial<Job> => ({
  class: 'replica',
  kind: 'service',
  rank: 1,
  tasks: 1 + (index % 4),
  cpus: 8,
  memory: 25,
});
const large = (): Partial<Job> => ({
  class: 'big',
  kind: 'service',
  rank: 0,
  tasks: 2,
  cpus: 33,
  gpus: 4,
  memory: 100,
  spread: true,
});
const batch = (): Partial<Job> => ({ class: 'batch', tasks: 20, cpus: 8, memory: 25, spot: true });
const gang = (index: number): Partial<Job> => ({
  class: 'gang',
  kind: 'gang',
  rank: 1,
  tasks: 1 + (index % 4),
  cpus: 86,
  gpus: 8,
  memory: 310,
  oneZone: true,
  spot: true,
});

const jobs = [
  ...plan(Number(machines) / 2, START_S, replica),
  ...plan(Number(machines) / 5, START_S, large),
];
for (let atS = START_S; atS < Number(seconds); atS += ROUND_S) {
  jobs.push(...plan(3, atS, batch), ...plan(2, atS, gang));
}
const users = new Users({
  runtime: nodeRuntime,
  balancer: listen,
  nodes: controllers,
  storage,
  observer,
});
users.start(jobs);
let last = cpuS();
for (let s = 0; s < Number(seconds); s += ROUND_S) {
  await sleep(ROUND_S * 1000);
  const cpu = cpuS();
  const cores = ((cpu - last) / ROUND_S).toFixed(3);
  process.stdout.write(`${s + ROUND_S} s: ${cores} cores, ${fleet.workers().length} machines\n`);
  last = cpu;
}
users.stop();
child.kill('SIGTERM');
await new Promise((resolve) => child.once('exit', resolve));
rmSync(dir, { recursive: true });
process.exit(0);
