import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '../../testing/samples.js';
import { NO_QUOTA } from '../fair-share/team-quota.js';
import { Scheduler } from '../placement/scheduler.js';

/** A fleet of three machines that are full of running tasks of the lowest rank, and a scheduler for it. */
function createFullFleet() {
  const fleet = makeFleet();
  const machines = ['n-1', 'n-2', 'n-3'].map((name) => registerMachine(fleet, name));
  const low = fleet.addJob(makeJob({ id: 'j-1', rank: 3, tasks: 3, gpus: 4 }), 0, 'accepted', 0);
  machines.forEach((machine, i) => {
    const assignment = fleet.assignments.assign(low, i, machine, i + 1, 0);
    assignment.recorded = assignment.startSent = true;
    assignment.reportedState = 'running';
    assignment.runningSince = 0;
  });
  const scheduler = new Scheduler(fleet, new Map([['red', NO_QUOTA]]), {
    floorWeight: 0.05,
    stopThreshold: 0.5,
    gangLeaseS: 120,
    preemptAfterS: 2,
    decisionsPerRound: 100,
  });
  const stoppingTasks = () =>
    machines.flatMap(({ tasks }) => [...tasks.values()].filter(({ stop }) => stop));
  return { fleet, scheduler, stoppingTasks };
}

test('one task is stopped for a waiting task, and no other while that one ends', () => {
  // Guards against stopping tasks on one machine after another while the first stop takes effect.
  const { fleet, scheduler, stoppingTasks } = createFullFleet();
  fleet.addJob(makeJob({ id: 'j-2', rank: 1, gpus: 4 }), 100, 'accepted', 100);
  scheduler.round(101);
  assert.equal(stoppingTasks().length, 0, 'nothing is stopped before the job has waited');
  for (const t of [103, 103.25, 103.5, 104]) scheduler.round(t);
  assert.equal(stoppingTasks().length, 1);
});

test("freed capacity that a task of the job has taken is not counted for the job's other tasks", () => {
  // Guards against replicas of one job that start one by one, each only after the capacity hold for
  // the previous replica has expired.
  const { fleet, scheduler, stoppingTasks } = createFullFleet();
  const job = fleet.addJob(
    makeJob({ id: 'j-2', rank: 1, tasks: 2, gpus: 4 }),
    100,
    'accepted',
    100,
  );
  scheduler.round(103);
  const [first] = stoppingTasks();
  const { machine, attempt, index } = first;
  const ended = { job: 'j-1', index, attempt, state: 'exited', cause: 'stopped' } as const;
  fleet.heartbeats.handle(
    makeHeartbeat({ machine: machine.name, tasks: [{ ...ended, checkpointed: false }] }),
    103.5,
  );
  scheduler.round(104);
  assert.equal(job.assignments.size, 1);
  scheduler.round(104.25);
  assert.equal(stoppingTasks().length, 1, 'capacity for the second task is being freed');
});

test('a job that is excluded from the only machine with victims does not block others', () => {
  // Guards against jobs that wait for as long as an older job with the same needs is excluded from a machine.
  const { fleet, scheduler, stoppingTasks } = createFullFleet();
  for (const name of ['n-2', 'n-3']) fleet.machines.drain(fleet.machines.get(name)!);
  const requirements = { rank: 1, gpus: 4 };
  const excluded = fleet.addJob(makeJob({ ...requirements, id: 'j-2' }), 99, 'accepted', 99);
  Object.assign(excluded.failures, { attempts: 1, countedAt: 99, machines: new Set(['n-1']) });
  fleet.addJob(makeJob({ ...requirements, id: 'j-3' }), 100, 'accepted', 100);
  scheduler.round(103);
  assert.deepEqual(
    stoppingTasks().map(({ machine }) => [machine.name, machine.capacityHold?.job.spec.id]),
    [['n-1', 'j-3']],
  );
});
