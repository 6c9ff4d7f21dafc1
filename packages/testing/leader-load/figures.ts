/** What a leader does that the measurement `leader` times, one at a time on a fleet of its own. */
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
import type { StandingFleet } from './standing-fleet.js';

/** One duty: `prepare` is not timed, and is called anew before each run. */
export interface Figure {
  /** What waits or changes; tasks and jobs are given for 100 machines. */
  prepare(standing: StandingFleet, now: number): void;
  run(standing: StandingFleet, now: number): void;
}

const LEASE_S = 10;
const TERM = { shard: 0, term: 100, leaseId: 1, electedAt: 0 };
const LIMITS: StateLimits = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
/** Machines whose records change together. */
const RECORDED_TOGETHER = 8;

const nothing = () => {};

/** What an owner does in a round, the order and sending of commands apart. */
function round({ fleet, scheduler }: StandingFleet, now: number): void {
  fleet.leases.expire(now);
  fleet.machines.updateTotals();
  evictOnReclaimNotices(fleet, now);
  scheduler.reservations.update(now);
  scheduler.round(now);
}

/** So many tasks end, and what they leave is recorded. */
function endTasks(standing: StandingFleet, count: number, now: number): void {
  const { fleet } = standing;
  const ending = standing.drawEnding(count);
  for (const machine of new Set(ending.map((task) => task.machine))) {
    fleet.heartbeats.handle(standing.heartbeatOf(machine, new Set(ending)), now);
  }
  standing.settle(now);
}

/** Keeps so many array tasks waiting. */
function keepWaiting(standing: StandingFleet, tasks: number, now: number): void {
  const { jobs } = standing.fleet;
  let waiting = 0;
  for (const job of jobs.waiting) waiting += jobs.waitingCount(job);
  for (; waiting < tasks; waiting += 10) standing.submit(now, { kind: 'array', tasks: 10 });
}

/** Waiting work of all kinds that finds no room. */
function crowd(standing: StandingFleet, jobs: number, now: number): void {
  for (let missing = jobs - standing.fleet.jobs.waiting.size; missing > 0; missing--) {
    standing.submit(now);
  }
}

function aRecordBatch(standing: StandingFleet): Uint8Array {
  const { fleet } = standing;
  const jobs = { get: () => ({ version: 1 }) } as unknown as JobTable;
  const records = new MachineRecords({
    clock: { now: () => 0 },
    fleet,
    jobs,
    limits: LIMITS,
  });
  const batch = new RecordBatch(TERM, new RemovalMarker(TERM), LIMITS, RECORDED_TOGETHER);
  const machines = [...fleet.machines.values()].filter(({ tasks }) => tasks.size > 0);
  for (const { name } of machines.slice(0, RECORDED_TOGETHER)) {
    batch.add(records.changeOf(name)!);
  }
  const conditions = batch.allConditions().map(({ key, version }) => ({ k: key, stamp: version }));
  const changes = batch.changes.map(({ change }) => change);
  return encode({ if: conditions, apply: changes });
}

function directCommand(standing: StandingFleet, machine: Machine, now: number): void {
  const { fleet } = standing;
  const orders = fleet.directOrders.nextOrders(machine, now);
  encode(commandToWire(machine.fencingToken, machine.agentEpoch, orders));
  const heartbeat = parseHeartbeat(heartbeatToWire(standing.heartbeatOf(machine)));
  fleet.directOrders.applyOutcome(machine, orders, { kind: 'executed', heartbeat }, now);
}

function anyMachine(standing: StandingFleet): Machine {
  const machines = [...standing.fleet.machines.values()].filter(({ tasks }) => tasks.size > 0);
  return machines[standing.chance.int(0, machines.length - 1)];
}

/** The tasks of a machine are placed but not started. */
function unstart(task: Assignment): void {
  Object.assign(task, { startSent: false, reportedState: null, recorded: true });
}

let chosen: Machine;
const perHundred = (standing: StandingFleet, count: number) =>
  Math.ceil((standing.fleet.machines.size * count) / 100);

export const FIGURES: Record<string, Figure> = {
  'round, nothing to do': { prepare: nothing, run: round },
  'round, a few changes': {
    prepare: (standing, now) => {
      endTasks(standing, perHundred(standing, 1), now);
      keepWaiting(standing, perHundred(standing, 1), now);
    },
    run: round,
  },
  'round, a burst': {
    prepare: (standing, now) => {
      endTasks(standing, perHundred(standing, 100), now);
      keepWaiting(standing, perHundred(standing, 150), now);
    },
    run: round,
  },
  'round, work that finds no room': {
    prepare: (standing, now) => crowd(standing, perHundred(standing, 100), now),
    run: round,
  },
  'plan, nothing waits': { prepare: nothing, run: ({ planner }, now) => void planner.plan(now) },
  'plan, work that finds no room': {
    prepare: (standing, now) => crowd(standing, perHundred(standing, 100), now),
    run: ({ planner }, now) => void planner.plan(now),
  },
  'leases expire': { prepare: nothing, run: ({ fleet }, now) => void fleet.leases.expire(now) },
  totals: { prepare: nothing, run: ({ fleet }) => fleet.machines.updateTotals() },
  notices: { prepare: nothing, run: ({ fleet }, now) => evictOnReclaimNotices(fleet, now) },
  'useless machines': {
    prepare: nothing,
    run: ({ fleet }, now) => void unusableMachines(fleet, now, LEASE_S),
  },
  'reservations, none wait': {
    prepare: nothing,
    run: ({ scheduler }, now) => scheduler.reservations.update(now),
  },
  summary: {
    prepare: nothing,
    run: ({ fleet, scheduler }, now) => void summariseFleet(fleet, scheduler, ['red'], now),
  },
  'peers, all counts': {
    prepare: nothing,
    run: ({ fleet }) => void encodeFrame({ kind: 'counts', jobs: countAllTasks(fleet) }),
  },
  'peers, changed counts': {
    prepare: nothing,
    run: ({ fleet }) => void encodeFrame({ kind: 'counts', jobs: countChangedTasks(fleet) }),
  },
  'records of 8 machines': { prepare: nothing, run: (standing) => void aRecordBatch(standing) },
  'direct command': {
    prepare: (standing) => {
      chosen = anyMachine(standing);
      for (const task of chosen.tasks.values()) unstart(task);
      standing.fleet.machinesWithCommands.add(chosen);
    },
    run: (standing, now) => directCommand(standing, chosen, now),
  },
  'report without news': {
    prepare: (standing) => {
      chosen = anyMachine(standing);
    },
    run: (standing, now) =>
      void standing.fleet.heartbeats.handle(standing.heartbeatOf(chosen), now),
  },
};
