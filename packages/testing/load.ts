/**
 * Loads one controller with stand-ins for the state service, the cloud and a fleet of workers, for
 * profiling: `node target/testing/load.js MACHINES SECONDS [node options]`. Prints processor time.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  CborClient,
  commandToWire,
  jobToWire,
  nodeRuntime,
  parseAnswer,
  reportToWire,
  type Job,
  type Order,
} from '#wire';
import { aJob } from './samples.js';
import { serve, StandInCloud, StandInState } from './services.js';
import { StandInWorker } from './worker.js';

const [machines, seconds, ...nodeOptions] = process.argv.slice(2);
const rig = {
  name: 'std',
  cores: 96,
  accelerators: 8,
  ramGb: 384,
  cacheGb: 600,
  pullGbPerS: 5,
  price: 20,
  marketPrice: 6,
  startupS: 60,
  yards: ['a', 'b', 'c'],
};
const REPORT_S = 2.5;
const LEASE_S = 15.25;
const now = () => performance.now() / 1000;
const state = new StandInState();
const cloud = new StandInCloud([rig], Number(machines));
const stateAt = await serve(state.handle);
const cloudAt = await serve(cloud.handle);
const dir = mkdtempSync(path.join(tmpdir(), 'sorreldale-load-'));
const listen = '127.0.0.1:18080';
const file = path.join(dir, 'settings.toml');
writeFileSync(
  file,
  `host_name = "c-0"
zone = "a"
listen = "${listen}"
cluster_listen = "127.0.0.1:18081"
[external]
cloud = "${cloudAt.address}"
state = "${stateAt.address}"
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
report_s = ${REPORT_S}
lease_s = ${LEASE_S}
gang_wait_s = 45.0
gang_peer_s = 8.0
cancel_s = 35.0
[deployment.state]
rps = 500.0
write_rps = 180.0
value_kb = 8.0
txn_ops = 24
[deployment.cloud]
rps = 8.0
list_lag_s = 4.0
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

const stop = new AbortController();
const runs = new Map<string, number>();
cloud.onRent = (name) => void runWorker(name);

async function runWorker(name: string): Promise<void> {
  const facts = cloud.machines.get(name)!;
  const worker = new StandInWorker(name, facts.yard, facts.loaner, LEASE_S, now());
  const runS = (job: string) => runs.get(job) ?? 60;
  const direct = await serve((_m, _u, body) => {
    const { baton, tenure, orders } = body as ReturnType<typeof commandToWire>;
    const read = parseAnswer({ baton, orders }).orders as Order[];
    const report = worker.command(baton, tenure, read, now(), runS);
    if (!report) return { status: 409, body: {} };
    return { status: 200, body: reportToWire({ ...report, addr: direct.address, type: 'std' }) };
  });
  const http = new CborClient(nodeRuntime, listen, 1);
  while (!stop.signal.aborted && cloud.machines.has(name)) {
    worker.advance(now());
    const sentAt = now();
    const report = worker.report();
    const body = reportToWire({ ...report, addr: direct.address, type: 'std' });
    try {
      const res = await http.call('POST', '/hello', { timeoutMs: 4000, body });
      if (res.status === 200) {
        const { token, orders } = parseAnswer(res.body);
        worker.answer({ session: report.session, sentAt }, token, orders, now(), runS);
      }
    } catch {
      // The controller may not be up yet.
    }
    await sleep(REPORT_S * (750 + Math.random() * 500));
  }
  direct.close();
  http.close();
}

const users = new CborClient(nodeRuntime, listen, 8);
let made = 0;
async function submit(own: Partial<Job>, runS: number): Promise<void> {
  const job = aJob({ ...own, id: `j-${String(++made).padStart(6, '0')}` });
  runs.set(job.id, runS);
  for (let i = 0; i < 30 && !stop.signal.aborted; i++) {
    const body = jobToWire(job);
    const res = await users
      .call('POST', '/submissions', { timeoutMs: 5000, body })
      .catch(() => null);
    if (res && res.status < 300) return;
    await sleep(1000);
  }
}
const replica = () =>
  submit(
    {
      class: 'replica',
      kind: 'service',
      rank: 1,
      tasks: 1 + (made % 4),
      cpus: 8,
      gpus: 1,
      memory: 25,
    },
    1e6,
  );
const batch = () =>
  submit({ class: 'batch', tasks: 20, cpus: 8, gpus: 1, memory: 25, spot: true }, 60);
const gang = () =>
  submit(
    {
      class: 'gang',
      kind: 'gang',
      rank: 1,
      tasks: 1 + (made % 4),
      cpus: 86,
      gpus: 8,
      memory: 310,
      oneZone: true,
      spot: true,
    },
    60,
  );
const big = () =>
  submit(
    {
      class: 'big',
      kind: 'service',
      rank: 0,
      tasks: 2,
      cpus: 33,
      gpus: 4,
      memory: 100,
      spread: true,
    },
    1e6,
  );
await sleep(2000);
for (let i = 0; i < Number(machines) / 2; i++) void replica();
for (let i = 0; i < Number(machines) / 5; i++) void big();
let last = cpuS();
for (let s = 0; s < Number(seconds); s += 5) {
  for (let i = 0; i < 3; i++) void batch();
  for (let i = 0; i < 2; i++) void gang();
  await sleep(5000);
  const cpu = cpuS();
  process.stdout.write(
    `${s + 5} s: ${((cpu - last) / 5).toFixed(3)} cores, ${cloud.machines.size} machines\n`,
  );
  last = cpu;
}
stop.abort();
child.kill('SIGTERM');
await new Promise((resolve) => child.once('exit', resolve));
state.close();
stateAt.close();
cloudAt.close();
users.close();
rmSync(dir, { recursive: true });
process.exit(0);
