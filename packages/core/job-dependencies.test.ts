import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '#wire';
import { aFleet, aJob, aMachine, aHeartbeat } from '#testing';
import { isBestEffort } from './fair-share/best-effort.js';
import type { FleetState } from './fleet-state.js';
import type { JobState } from './model/entities.js';
import { Scheduler } from './placement/scheduler.js';
import type { TeamQuota } from './fair-share/team-quota.js';

const NO_GUARANTEE: TeamQuota = { guaranteedCpus: 0, guaranteedGpus: 0, cpuLimit: 0, gpuLimit: 0 };
const TEAMS = new Map([['red', NO_GUARANTEE]]);

function createScheduledFleet() {
  const fleet = aFleet({ isBestEffort: (job) => isBestEffort(job, TEAMS.get(job.team)) });
  const scheduler = new Scheduler(fleet, TEAMS, {
    floorWeight: 0.1,
    stopThreshold: 0.5,
    gangLeaseS: 60,
    preemptAfterS: 5,
    decisionsPerRound: 100,
  });
  return { fleet, scheduler };
}

function addJob(
  fleet: FleetState,
  overrides: Partial<Job>,
  hasOpenDependencies = false,
  rank?: number,
): JobState {
  const job = aJob(overrides);
  const dependencies = { hasOpenDependencies, rank: rank ?? job.rank };
  return fleet.addJob(job, 0, 'accepted', 0, { dependencies });
}

test('a job with open dependencies is not queued, assigned or reserved for, and is startable once they are done', () => {
  const { fleet, scheduler } = createScheduledFleet();
  aMachine(fleet, 'n-1');
  const first = addJob(fleet, { id: 'j-1' }, true);
  const gang = addJob(fleet, { id: 'j-2', kind: 'gang', tasks: 2 }, true);
  scheduler.reservations.update(1);
  assert.equal(scheduler.round(1), 0);
  assert.deepEqual([fleet.jobs.waiting.size, fleet.jobs.waiting.gangs.size], [0, 0]);
  assert.deepEqual([fleet.jobs.waitingCount(first), fleet.jobs.jobsWithOpenDependencies], [0, 2]);
  assert.equal(fleet.machines.get('n-1')!.reservedForGang, null);
  assert.throws(() => fleet.assignments.assign(first, 0, fleet.machines.get('n-1')!, 1, 1));
  const other = addJob(fleet, { id: 'j-3', gpus: 4 });
  other.startableAt = 50;
  fleet.jobs.dependenciesDone(first, 40);
  assert.deepEqual([first.startableAt, first.waitingSince], [40, 40]);
  assert.equal(scheduler.round(41), 1);
  assert.equal(first.assignments.size, 1);
  fleet.jobs.dependenciesDone(gang, 42);
  assert.equal(scheduler.round(43), 2);
});

test('a job that is cancelled while it has open dependencies is never queued', () => {
  const { fleet } = createScheduledFleet();
  const job = addJob(fleet, { id: 'j-1' }, true);
  fleet.closeJob(job, 'cancelled', 1);
  fleet.jobs.dependenciesDone(job, 2);
  assert.equal(fleet.jobs.waiting.size, 0);
  fleet.jobs.removeEnded();
  assert.equal(fleet.jobs.get('j-1'), undefined);
});

test('a task of a job with open dependencies, started by a version that does not support dependencies, is stopped', () => {
  const { fleet } = createScheduledFleet();
  const machine = aMachine(fleet, 'n-1');
  const job = addJob(fleet, { id: 'j-1' }, true);
  fleet.assignments.inherit(job, 0, machine, 7, 0);
  const task = {
    job: 'j-1',
    index: 0,
    attempt: 7,
    state: 'running',
    cause: null,
    checkpointed: false,
  };
  const outcome = fleet.heartbeats.handle(aHeartbeat({ tasks: [task as never] }), 1);
  assert.ok(outcome.kind === 'answer' && outcome.orders.some(({ op }) => op === 'stop'));
});

test('a waiting best-effort job that gets the rank of a dependent is no longer best-effort and is placed first', () => {
  const { fleet, scheduler } = createScheduledFleet();
  const machine = aMachine(fleet, 'n-1');
  const normal = addJob(fleet, { id: 'j-1', rank: 2, gpus: 4 });
  const low = addJob(fleet, { id: 'j-2', rank: 3, gpus: 4 });
  assert.ok(low.isBestEffort);
  const order = low.waitingOrder;
  fleet.changeRank(low, 1, 1);
  assert.ok(!low.isBestEffort);
  assert.deepEqual([low.waitingOrder, fleet.jobs.waiting.has(low)], [order, true]);
  assert.equal(scheduler.round(2), 1);
  assert.deepEqual([low.assignments.size, normal.assignments.size], [1, 0]);
  assert.equal(machine.firmTasks, 1);
  fleet.changeRank(low, 3, 3);
  assert.ok(low.isBestEffort);
  assert.deepEqual([machine.firmTasks, machine.usedBestEffort.gpus, machine.idleSince], [0, 4, 3]);
});

test('running tasks of a job count under the rank of a dependent that is submitted later', () => {
  const { fleet, scheduler } = createScheduledFleet();
  const machine = aMachine(fleet, 'n-1');
  const low = addJob(fleet, { id: 'j-1', rank: 3, gpus: 1, tasks: 4 });
  scheduler.round(1);
  assert.equal(low.assignments.size, 4);
  assert.deepEqual([machine.firmTasks, machine.usedBestEffort.gpus], [0, 4]);
  fleet.changeRank(low, 1, 2);
  assert.deepEqual([machine.firmTasks, machine.usedBestEffort.gpus], [4, 0]);
  const groups = fleet.usage
    .groups()
    .map(({ rank, tasks, isBestEffort: bestEffort }) => [rank, tasks, bestEffort]);
  assert.deepEqual(groups, [[1, 4, false]]);
  // A job of rank 2 would preempt tasks of rank 3, but none of rank 1.
  addJob(fleet, { id: 'j-2', rank: 2, gpus: 1 });
  scheduler.round(60);
  assert.deepEqual(
    [...machine.tasks.values()].filter(({ stop }) => stop !== null),
    [],
  );
  fleet.changeRank(low, 3, 61);
  scheduler.round(120);
  assert.equal(low.assignments.size, 3);
});
