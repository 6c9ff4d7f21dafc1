/**
 * Measures one scheduling round, one capacity plan, one heartbeat and one failover with few and with many waiting tasks
 * and jobs. Times are medians in milliseconds on one core. Bytes are those of the heap and of array buffers, and need
 * `node --expose-gc`.
 */
import { CapacityPlanner, FleetState, NO_QUOTA, Scheduler } from '#core';
import type { Job, Heartbeat } from '#wire';
import { currentLoad, describeMachine, measureSpeed } from './machine-speed.js';
import { median } from './median.js';
import { type Column, formatNumber, textTable } from './text-table.js';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '../samples.js';

const MACHINES = 48;
const RUNS = 30;
/** Number of jobs over which memory use is averaged. */
const MEMORY_SAMPLE_JOBS = 1_000;
const TEAMS = new Map([['red', NO_QUOTA]]);
/** When rounds, plans and heartbeats run, in seconds after the submission of the jobs. */
const MEASURED_AT_S = 10;
const SCHEDULER_SETTINGS = {
  floorWeight: 0.05,
  preemptAfterS: 2,
  gangLeaseS: 120,
  stopThreshold: 0.5,
  decisionsPerRound: 200,
};
const PLANNER_SETTINGS = { reserveSigmas: 2, idleHoldS: 60, memoryS: 120 };

/** Waiting jobs, and whether machines have capacity for them. */
interface Load {
  jobs: number;
  /** Number of tasks of each job. */
  tasks: number;
  /** Whether all machines are full. */
  full: boolean;
}

const LOADS: Load[] = [
  { jobs: 1, tasks: 25 },
  { jobs: 1, tasks: 25_000 },
  { jobs: 10, tasks: 1 },
  { jobs: 1_000, tasks: 1 },
  { jobs: 10_000, tasks: 1 },
].flatMap((load) => [
  { ...load, full: false },
  { ...load, full: true },
]);

const COLUMNS: Column[] = [
  { heading: 'waiting' },
  { heading: 'machines' },
  { heading: 'failover', isNumber: true },
  { heading: 'round', isNumber: true },
  { heading: 'plan', isNumber: true },
  { heading: 'heartbeat', isNumber: true },
  { heading: 'bytes per job', isNumber: true },
];

/** Creates job number `i` of a load. The CPU requests of the jobs differ slightly. */
function createJob(i: number, { tasks }: Load): Job {
  const cpus = 0.25 * (0.7 + 0.6 * ((i * 0.618) % 1));
  return makeJob({ id: `j-${i}`, rank: 3, tasks, cpus, gpus: 0, memory: 0.5, imageGb: 0.5 });
}

function createBusyFleet({ full }: Load): FleetState {
  const fleet = makeFleet();
  for (let i = 0; i < MACHINES; i++) {
    const machine = registerMachine(fleet, `n-${i}`, { zone: i % 2 ? 'a' : 'b' });
    const spec = makeJob({ id: `s-${i}`, kind: 'service', rank: 1, cpus: full ? 16 : 15, gpus: 4 });
    const state = fleet.addJob(spec, 0, 'accepted', 0);
    const { assignments } = fleet;
    assignments.assign(state, 0, machine, assignments.newAttempt(), 0).reportedState = 'running';
  }
  return fleet;
}

function createFleetWithLoad(load: Load, fleet = createBusyFleet(load)): FleetState {
  for (let i = 0; i < load.jobs; i++) fleet.addJob(createJob(i, load), 0, 'accepted', 0);
  return fleet;
}

/** Returns the median time of `work` in milliseconds. The time of `prepare` is not included. */
function medianMs<T>(prepare: () => T, work: (prepared: T) => void): number {
  const prepared = Array.from({ length: RUNS }, prepare);
  const times = prepared.map((each) => {
    const startedAtMs = performance.now();
    work(each);
    return performance.now() - startedAtMs;
  });
  return median(times);
}

function timeTakeOver(load: Load): number {
  return medianMs(
    () => load,
    (each) => void createFleetWithLoad(each),
  );
}

function timeRound(load: Load): number {
  return medianMs(
    () => new Scheduler(createFleetWithLoad(load), TEAMS, SCHEDULER_SETTINGS),
    (scheduler) => void scheduler.round(MEASURED_AT_S),
  );
}

function timePlan(fleet: FleetState): number {
  const options = { fleet, settings: PLANNER_SETTINGS, objectives: [], teams: TEAMS };
  return medianMs(
    () => new CapacityPlanner(options),
    (planner) => void planner.plan(MEASURED_AT_S),
  );
}

function timeHeartbeat(fleet: FleetState): number {
  let sequence = 0;
  const running = { state: 'running' as const, cause: null, checkpointed: false };
  const tasks = [{ job: 's-1', index: 0, attempt: 6553601, ...running }];
  const nextHeartbeat = (): Heartbeat =>
    makeHeartbeat({ machine: 'n-1', sequence: ++sequence, tasks });
  return medianMs(
    nextHeartbeat,
    (heartbeat) => void fleet.heartbeats.handle(heartbeat, MEASURED_AT_S),
  );
}

/** Returns the memory that a fleet uses for each waiting job of the load, in bytes. */
function bytesPerJob(load: Load): number {
  const fleet = createBusyFleet(load);
  const before = memoryUsed();
  createFleetWithLoad({ ...load, jobs: MEMORY_SAMPLE_JOBS }, fleet);
  const bytes = (memoryUsed() - before) / MEMORY_SAMPLE_JOBS;
  // Reads the fleet, so that it is not garbage-collected before the memory is measured.
  return fleet.jobs.waiting.size > 0 ? bytes : 0;
}

function memoryUsed(): number {
  global.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Measures one load and returns its row of the table. */
function measure(load: Load): string[] {
  const { jobs, tasks, full } = load;
  const loadedFleet = createFleetWithLoad(load);
  const bytes = bytesPerJob(load);
  const times = [
    timeTakeOver(load),
    timeRound(load),
    timePlan(loadedFleet),
    timeHeartbeat(loadedFleet),
  ];
  const waiting = `${jobs} ${jobs === 1 ? 'job' : 'jobs'} of ${tasks} ${tasks === 1 ? 'task' : 'tasks'}`;
  return [waiting, full ? 'full' : 'with capacity', ...times.map(formatNumber), bytes.toFixed(0)];
}

/** Prints one line for each load; resolves with the exit code. */
export function run(): Promise<number> {
  const rows = LOADS.map(measure);
  const load = currentLoad().toFixed(1);
  process.stdout.write(`${describeMachine(measureSpeed())}, load ${load}\n\n`);
  process.stdout.write(textTable(COLUMNS, rows));
  return Promise.resolve(0);
}
