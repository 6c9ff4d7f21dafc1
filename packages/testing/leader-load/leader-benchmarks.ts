/** Benchmarks of the work of a leader. The measurement `leader` runs each of them on a fleet of its own. */
import type { Assignment, Machine } from '#core';
import { encodeFrame } from '#peer';
import type { StateLimits } from '#store';
import { commandToWire, encode, parseHeartbeat, heartbeatToWire } from '#wire';
import { summariseFleet } from '../../controller/observability/fleet-summary.js';
import { countAllTasks, countChangedTasks } from '../../controller/observability/task-counts.js';
import type { JobTable } from '../../controller/jobs/job-table.js';
import { MachineRecords } from '../../controller/records/machine-records.js';
import { evictOnReclaimNotices } from '../../controller/leadership/reclaim-notices.js';
import { RecordBatch } from '../../controller/records/record-batch.js';
import { RemovalMarker } from '../../controller/records/removal-marker.js';
import { unusableMachines } from '../../controller/cloud/unusable-machines.js';
import type { FleetFixture } from './fleet-fixture.js';

/** One kind of work of a leader. `prepare` is called before each run and is not timed. */
export interface Benchmark {
  /** Adds the jobs and changes that `run` works on. Their numbers are relative to 100 machines. */
  prepare(fixture: FleetFixture, now: number): void;
  run(fixture: FleetFixture, now: number): void;
}

const LEASE_S = 10;
const TERM = { shard: 0, term: 100, leaseId: 1, electedAt: 0 };
const LIMITS: StateLimits = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
/** Machines whose records are changed in one transaction. */
const MACHINES_PER_BATCH = 8;

const noPreparation = () => {};

/** A scheduling round of a leader without the ordering and sending of commands. */
function runRound({ fleet, scheduler }: FleetFixture, now: number): void {
  fleet.leases.expire(now);
  fleet.machines.updateTotals();
  evictOnReclaimNotices(fleet, now);
  scheduler.reservations.update(now);
  scheduler.round(now);
}

/** Ends this number of tasks and marks the results as recorded. */
function endTasks(fixture: FleetFixture, count: number, now: number): void {
  const { fleet } = fixture;
  const ending = fixture.drawEndingTasks(count);
  for (const machine of new Set(ending.map((task) => task.machine))) {
    fleet.heartbeats.handle(fixture.heartbeatOf(machine, new Set(ending)), now);
  }
  fixture.settle(now);
}

/** Submits array jobs until at least this number of tasks waits. */
function keepWaiting(fixture: FleetFixture, tasks: number, now: number): void {
  const { jobs } = fixture.fleet;
  let waiting = 0;
  for (const job of jobs.waiting) waiting += jobs.waitingCount(job);
  for (; waiting < tasks; waiting += 10) fixture.submit(now, { kind: 'array', tasks: 10 });
}

/** Submits jobs of all kinds until this number of jobs waits, more than there is capacity for. */
function fillQueue(fixture: FleetFixture, jobs: number, now: number): void {
  for (let missing = jobs - fixture.fleet.jobs.waiting.size; missing > 0; missing--) {
    fixture.submit(now);
  }
}

function encodeRecordBatch(fixture: FleetFixture): Uint8Array {
  const { fleet } = fixture;
  const jobs = { get: () => ({ version: 1 }) } as unknown as JobTable;
  const records = new MachineRecords({
    clock: { now: () => 0 },
    fleet,
    jobs,
    limits: LIMITS,
  });
  const batch = new RecordBatch(TERM, new RemovalMarker(TERM), LIMITS, MACHINES_PER_BATCH);
  const machines = [...fleet.machines.values()].filter(({ tasks }) => tasks.size > 0);
  for (const { name } of machines.slice(0, MACHINES_PER_BATCH)) {
    batch.add(records.changeOf(name)!);
  }
  const conditions = batch.allConditions().map(({ key, version }) => ({ k: key, stamp: version }));
  const changes = batch.changes.map(({ change }) => change);
  return encode({ if: conditions, apply: changes });
}

function runDirectCommand(fixture: FleetFixture, machine: Machine, now: number): void {
  const { fleet } = fixture;
  const orders = fleet.directOrders.nextOrders(machine, now);
  encode(commandToWire(machine.fencingToken, machine.agentEpoch, orders));
  const heartbeat = parseHeartbeat(heartbeatToWire(fixture.heartbeatOf(machine)));
  fleet.directOrders.applyOutcome(machine, orders, { kind: 'executed', heartbeat }, now);
}

function pickMachine(fixture: FleetFixture): Machine {
  const machines = [...fixture.fleet.machines.values()].filter(({ tasks }) => tasks.size > 0);
  return machines[fixture.chance.int(0, machines.length - 1)];
}

/** Sets a task back to one that is recorded but not started. */
function markUnstarted(task: Assignment): void {
  Object.assign(task, { startSent: false, reportedState: null, recorded: true });
}

let chosenMachine: Machine;
const perHundredMachines = (fixture: FleetFixture, count: number) =>
  Math.ceil((fixture.fleet.machines.size * count) / 100);

export const BENCHMARKS: Record<string, Benchmark> = {
  'round, nothing to do': { prepare: noPreparation, run: runRound },
  'round, a few changes': {
    prepare: (fixture, now) => {
      endTasks(fixture, perHundredMachines(fixture, 1), now);
      keepWaiting(fixture, perHundredMachines(fixture, 1), now);
    },
    run: runRound,
  },
  'round, a burst': {
    prepare: (fixture, now) => {
      endTasks(fixture, perHundredMachines(fixture, 100), now);
      keepWaiting(fixture, perHundredMachines(fixture, 150), now);
    },
    run: runRound,
  },
  'round, jobs without capacity': {
    prepare: (fixture, now) => fillQueue(fixture, perHundredMachines(fixture, 100), now),
    run: runRound,
  },
  'plan, no waiting jobs': {
    prepare: noPreparation,
    run: ({ planner }, now) => void planner.plan(now),
  },
  'plan, jobs without capacity': {
    prepare: (fixture, now) => fillQueue(fixture, perHundredMachines(fixture, 100), now),
    run: ({ planner }, now) => void planner.plan(now),
  },
  'lease expiry': {
    prepare: noPreparation,
    run: ({ fleet }, now) => void fleet.leases.expire(now),
  },
  totals: { prepare: noPreparation, run: ({ fleet }) => fleet.machines.updateTotals() },
  notices: { prepare: noPreparation, run: ({ fleet }, now) => evictOnReclaimNotices(fleet, now) },
  'unusable machines': {
    prepare: noPreparation,
    run: ({ fleet }, now) => void unusableMachines(fleet, now, LEASE_S),
  },
  'reservations, no waiting jobs': {
    prepare: noPreparation,
    run: ({ scheduler }, now) => scheduler.reservations.update(now),
  },
  summary: {
    prepare: noPreparation,
    run: ({ fleet, scheduler }, now) => void summariseFleet(fleet, scheduler, ['red'], now),
  },
  'peer frame, all task counts': {
    prepare: noPreparation,
    run: ({ fleet }) => void encodeFrame({ kind: 'counts', jobs: countAllTasks(fleet) }),
  },
  'peer frame, changed task counts': {
    prepare: noPreparation,
    run: ({ fleet }) => void encodeFrame({ kind: 'counts', jobs: countChangedTasks(fleet) }),
  },
  'record batch of 8 machines': {
    prepare: noPreparation,
    run: (fixture) => void encodeRecordBatch(fixture),
  },
  'direct command': {
    prepare: (fixture) => {
      chosenMachine = pickMachine(fixture);
      for (const task of chosenMachine.tasks.values()) markUnstarted(task);
      fixture.fleet.machinesWithCommands.add(chosenMachine);
    },
    run: (fixture, now) => runDirectCommand(fixture, chosenMachine, now),
  },
  'heartbeat without changes': {
    prepare: (fixture) => {
      chosenMachine = pickMachine(fixture);
    },
    run: (fixture, now) =>
      void fixture.fleet.heartbeats.handle(fixture.heartbeatOf(chosenMachine), now),
  },
};
