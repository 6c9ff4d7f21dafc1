/**
 * Loads one controller with stand-ins for the state service, the cloud and a fleet of workers, for
 * profiling: `node target/testing/load.js MACHINES SECONDS [node options]`. Prints processor time.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { nodeRuntime } from '#wire';
import { CLOUD, settingsFile, STATE, TIMES, TYPE } from './load/deployment.js';
import { processorTimeS } from './load/processor-time.js';
import { planLoad } from './load/workload.js';
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
} from './standins/index.js';

const LOOPBACK = '127.0.0.1';
const FIRST_WORKER_PORT = 20_000;
const LISTEN = `${LOOPBACK}:18080`;
const CONTROLLERS = [{ name: 'c-0', address: LISTEN }];
/** From one line of output to the next; seconds. */
const LOOK_S = 5;

const observer = () => {};
const storage = new JobStorage(observer);

function makeFleet(): Fleet {
  return new Fleet({
    surroundings: {
      times: TIMES,
      controllers: CONTROLLERS,
      storage,
      gangs: new GangNetwork(nodeRuntime),
      observer,
      lateReports: new LateReports(nodeRuntime),
      lateCommands: new ReplyLoss(nodeRuntime),
    },
    addressOf: (number) => ({ host: LOOPBACK, port: FIRST_WORKER_PORT + number }),
    hostFor: () => ({ runtime: nodeRuntime, powerOff: () => {} }),
  });
}

/** Serves the state service and the cloud; resolves with their addresses. */
async function serveStandIns(fleet: Fleet, machines: number) {
  const state = new StateService(nodeRuntime, STATE);
  const options = { types: [TYPE], capacity: [{ machines }], ...CLOUD };
  const cloud = new CloudService(nodeRuntime, options, fleet);
  cloud.setBootProfile(QUICK_BOOTS);
  const stateAt = (await state.listen(FREE_LOOPBACK_PORT)).target;
  const cloudAt = (await cloud.listen(FREE_LOOPBACK_PORT)).target;
  return { state: stateAt, cloud: cloudAt };
}

/** Starts the controller that is loaded. */
function startController(settings: string, nodeOptions: string[]): ChildProcess {
  const command = [...nodeOptions, 'target/cli/launch.cjs', '--config', settings];
  return spawn(process.execPath, command, { stdio: 'inherit' });
}

async function printUse(child: ChildProcess, fleet: Fleet, seconds: number): Promise<void> {
  let usedS = processorTimeS(child.pid!);
  for (let elapsedS = LOOK_S; elapsedS < seconds + LOOK_S; elapsedS += LOOK_S) {
    await sleep(LOOK_S * 1000);
    const nowS = processorTimeS(child.pid!);
    const cores = ((nowS - usedS) / LOOK_S).toFixed(3);
    const machines = fleet.workers().length;
    process.stdout.write(`${elapsedS} s: ${cores} cores, ${machines} machines\n`);
    usedS = nowS;
  }
}

async function main([machines, seconds, ...nodeOptions]: string[]): Promise<void> {
  const fleet = makeFleet();
  const addresses = await serveStandIns(fleet, Number(machines));
  const directory = mkdtempSync(path.join(tmpdir(), 'sorreldale-load-'));
  const settings = path.join(directory, 'settings.toml');
  writeFileSync(settings, settingsFile({ listen: LISTEN, ...addresses }));
  const child = startController(settings, nodeOptions);
  const users = new Users({
    runtime: nodeRuntime,
    balancer: LISTEN,
    nodes: CONTROLLERS,
    storage,
    observer,
  });
  users.start(planLoad(Number(machines), Number(seconds)));
  await printUse(child, fleet, Number(seconds));
  users.stop();
  child.kill('SIGTERM');
  await new Promise((resolve) => child.once('exit', resolve));
  rmSync(directory, { recursive: true });
  process.exit(0);
}

await main(process.argv.slice(2));
