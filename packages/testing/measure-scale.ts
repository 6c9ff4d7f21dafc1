/**
 * Measures what one scheduling round, one plan, one report and one take-over cost with few and with many
 * waiting tasks and jobs: `node --expose-gc target/testing/measure-scale.js`. Times are medians in
 * milliseconds on one core; bytes are of the heap.
 */
import { loadavg } from 'node:os';
import { CapacityPlanner, FleetState, NO_QUOTA, Scheduler } from '#core';
import type { Job } from '#wire';
import { aFleet, aJob, aMachine, aReport } from './samples.js';

const MACHINES = 48;
const RUNS = 30;
/** Jobs whose memory is taken. */
const JOBS_WEIGHED = 1_000;
const TEAMS = new Map([['red', NO_QUOTA]]);

interface Load {
  name: string;
  jobs: number;
  tasks: number;
  /** Nothing more has room. */
  full: boolean;
}

const LOADS: Load[] = [
  ...[25, 25_000].map((tasks) => ({ name: `1 job of ${tasks} tasks`, jobs: 1, tasks })),
  ...[10, 1_000, 10_000].map((jobs) => ({ name: `${jobs} jobs of 1 task`, jobs, tasks: 1 })),
].flatMap((load) => [
  { ...load, full: false },
  { ...load, full: true },
]);

/** Job number i of a load; their needs differ a little. */
function jobOf(i: number, { tasks }: Load): Job {
  const cpus = 0.25 * (0.7 + 0.6 * ((i * 0.618) % 1));
  return aJob({ id: `j-${i}`, rank: 3, tasks, cpus, gpus: 0, memory: 0.5, imageGb: 0.5 });
}

function aBusyFleet({ full }: Load): FleetState {
  const fleet = aFleet();
  for (let i = 0; i < MACHINES; i++) {
    const machine = aMachine(fleet, `n-${i}`, { zone: i % 2 ? 'a' : 'b' });
    const spec = aJob({ id: `s-${i}`, kind: 'service', rank: 1, cpus: full ? 16 : 15, gpus: 4 });
    const state = fleet.addJob(spec, 0, 'accepted', 0);
    const { assignments } = fleet;
    assignments.assign(state, 0, machine, assignments.newAttempt(), 0).reported = 'running';
  }
  return fleet;
}

function fleetWith(load: Load, fleet = aBusyFleet(load)): FleetState {
  for (let i = 0; i < load.jobs; i++) fleet.addJob(jobOf(i, load), 0, 'accepted', 0);
  return fleet;
}

function medianMs(runs: (() => void)[]): number {
  const times = runs.map((run) => {
    const startedAt = performance.now();
    run();
    return performance.now() - startedAt;
  });
  return times.sort((a, b) => a - b)[times.length >> 1];
}

function memoryUsed(): number {
  global.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Bytes that a fleet takes for each waiting job of the load. */
function bytesPerJob(load: Load): number {
  const fleet = aBusyFleet(load);
  const before = memoryUsed();
  fleetWith({ ...load, jobs: JOBS_WEIGHED }, fleet);
  const bytes = (memoryUsed() - before) / JOBS_WEIGHED;
  // Kept alive until here.
  return fleet.jobs.waiting.size > 0 ? bytes : 0;
}

function measure(load: Load): void {
  const held = fleetWith(load);
  const bytes = bytesPerJob(load);
  const settings = {
    floorWeight: 0.05,
    preemptAfterS: 2,
    gangLeaseS: 120,
    stopThreshold: 0.5,
    decisionsPerRound: 200,
  };
  const runs = <T>(prepare: () => T, run: (given: T) => void) =>
    medianMs(Array.from({ length: RUNS }, prepare).map((given) => () => run(given)));
  const later = 10;
  const takeOver = runs(
    () => null,
    () => void fleetWith(load),
  );
  const round = runs(
    () => new Scheduler(fleetWith(load), TEAMS, settings),
    (scheduler) => void scheduler.round(later),
  );
  const options = { reserveSigmas: 2, idleHoldS: 60, memoryS: 120 };
  const plan = runs(
    () => new CapacityPlanner({ fleet: held, settings: options, objectives: [], teams: TEAMS }),
    (planner) => void planner.plan(later),
  );
  let seq = 0;
  const running = { state: 'running' as const, cause: null, saved: false };
  const tasks = [{ job: 's-1', index: 0, attempt: 6553601, ...running }];
  const report = runs(
    () => aReport({ machine: 'n-1', seq: ++seq, tasks }),
    (given) => void held.reports.handle(given, later),
  );
  const figures = { takeOver, round, plan, report };
  const texts = Object.entries(figures).map(([name, ms]) => `${name} ${ms.toFixed(3)}`);
  const room = load.full ? 'no room' : 'room';
  process.stdout.write(
    `${load.name}, ${room}: ${texts.join(', ')}; ${bytes.toFixed(0)} bytes a job\n`,
  );
}

process.stdout.write(
  `load of the machine ${loadavg()
    .map((each) => each.toFixed(1))
    .join(' ')}\n`,
);
for (const load of LOADS) measure(load);
