/**
 * Measures what an owner's duties cost with so many machines: `node target/testing/measure-owner.js
 * MACHINES`. Each duty runs in a process of its own, which reads the fleet from its records as a new owner
 * does. Milliseconds of processor time: the first run, the mean of the next ones while the code is new, and the
 * median once it is compiled.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { FIGURES } from './owner-load/figures.js';
import { type FleetRecords, recordsOf } from './owner-load/fleet-records.js';
import { StandingFleet, STEADY_AT } from './owner-load/standing-fleet.js';
import { Chance } from './random.js';

const EARLY_RUNS = 20;
const LATE_RUNS = 400;
/** The last runs, of which the median is taken. */
const MEDIAN_RUNS = 100;
/** From one run to the next. */
const RUN_S = 1 / 4;
/** Share of the accelerators that is free. */
const FREE = 0.03;
/** As the controllers run. */
const NODE_OPTIONS = ['--max-old-space-size=56', '--max-semi-space-size=2'];

interface Given {
  machines: number;
  records: FleetRecords;
  figure: string;
}

interface Measured {
  firstMs: number;
  earlyMs: number;
  lateMs: number;
}

function measure({ records, figure }: Given): Measured {
  const standing = StandingFleet.ofRecords(records, new Chance(2));
  const { prepare, run } = FIGURES[figure];
  const times: number[] = [];
  for (let i = 0; i < LATE_RUNS; i++) {
    const now = STEADY_AT + i * RUN_S;
    prepare(standing, now);
    const startedAt = process.cpuUsage();
    run(standing, now);
    const { user, system } = process.cpuUsage(startedAt);
    times.push((user + system) / 1000);
    standing.settle(now);
  }
  const early = times.slice(1, EARLY_RUNS);
  const late = times.slice(-MEDIAN_RUNS).sort((a, b) => a - b);
  return {
    firstMs: times[0],
    earlyMs: early.reduce((sum, each) => sum + each, 0) / early.length,
    lateMs: late[late.length >> 1],
  };
}

async function inOwnProcess(given: Given): Promise<Measured> {
  const child = fork(process.argv[1], [], { execArgv: NODE_OPTIONS });
  child.send(given);
  const [measured] = (await once(child, 'message')) as [Measured];
  child.disconnect();
  return measured;
}

async function main(machines: number): Promise<void> {
  const standing = StandingFleet.ofMachines(machines, new Chance(1));
  standing.fill(FREE);
  const records = recordsOf(standing.fleet);
  const tasks = [...standing.fleet.machines.values()].reduce((sum, m) => sum + m.tasks.size, 0);
  process.stdout.write(`${machines} machines, ${records.jobs.length} jobs, ${tasks} tasks\n`);
  for (const figure of Object.keys(FIGURES)) {
    const { firstMs, earlyMs, lateMs } = await inOwnProcess({ machines, records, figure });
    const texts = [firstMs, earlyMs, lateMs].map((ms) => ms.toFixed(3).padStart(9));
    process.stdout.write(`${texts.join('')}  ${figure}\n`);
  }
}

if (process.send) {
  process.once('message', (given) => process.send!(measure(given as Given)));
} else await main(Number(process.argv[2] ?? 200));
