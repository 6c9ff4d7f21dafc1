import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PROPERTY_TEST_OPTIONS } from '../../testing/generators.js';
import { FailingTasksFixture, TEAMS } from '../../testing/failing-tasks-fixture.js';
import { CapacityPlanner } from '../autoscaling/capacity-planner.js';
import { isUsable } from '../placement/availability.js';
import { assignmentsOf, JobState, Machine } from '../model/entities.js';

test('a job that fails on every machine is retried ever less often, with a few tasks at a time', () => {
  // Guards against an array of thousands of failing tasks that occupies every machine again and again, because a task
  // that was seen to run for an instant reset the job's backoff.
  const world = new FailingTasksFixture(6);
  const job = world.submit({ tasks: 5000 });
  world.run(6, () => true);
  assert.ok(world.fleet.failures.crashLoopingJobs.has(job));
  const earlierStarts = world.starts.get(job.spec.id)!;
  let maxAssigned = 0;
  for (let i = 0; i < 300; i++) {
    world.run(1, () => true);
    maxAssigned = Math.max(maxAssigned, job.assignments.size);
  }
  const laterStarts = world.starts.get(job.spec.id)! - earlierStarts;
  assert.ok(laterStarts > 4 && laterStarts <= 24, `${laterStarts} starts`);
  assert.ok(maxAssigned <= 2, `${maxAssigned} at once`);
});

test('a gang that fails on every machine reserves no machine, and its starts are bounded', () => {
  const world = new FailingTasksFixture(5);
  const job = world.submit({ kind: 'gang', tasks: 3, gpus: 4 });
  world.run(8, () => true);
  const reservedCounts: number[] = [];
  for (let i = 0; i < 200; i++) {
    world.run(1, () => true);
    reservedCounts.push(
      world.machines.filter(({ reservedForGang }) => reservedForGang !== null).length,
    );
  }
  assert.equal(Math.max(...reservedCounts), 0);
  const starts = world.starts.get(job.spec.id)!;
  assert.ok(starts >= 6 && starts <= 30, `${starts} starts`);
});

test('a job that failed once is retried on another machine at once', () => {
  // Guards against a job without faults that is delayed by a faulty machine.
  const world = new FailingTasksFixture(2);
  const job = world.submit({ tasks: 1 });
  let faulty: Machine | null = null;
  world.run(2, (_, machine) => (faulty ??= machine) === machine);
  world.run(1, () => false);
  const [task] = [...assignmentsOf(job)];
  assert.notEqual(task.machine, faulty);
  assert.ok(task.assignedAt <= 2);
  assert.equal(world.fleet.failures.crashLoopingJobs.size, 0);
});

test('a short run does not clear a job of failures; a run longer than the failed ones or a completed task does', () => {
  const isClearedBy = (action: (world: FailingTasksFixture, job: JobState) => void) => {
    const world = new FailingTasksFixture(3);
    const job = world.submit({ tasks: 4 });
    world.failTask(job, world.machines[0]);
    world.failTask(job, world.machines[1]);
    assert.ok(world.fleet.failures.crashLoopingJobs.has(job));
    action(world, job);
    return !world.fleet.failures.crashLoopingJobs.has(job);
  };
  const runFor = (seconds: number) => (world: FailingTasksFixture) =>
    world.run(seconds, () => false);
  assert.ok(!isClearedBy(runFor(6)));
  assert.ok(isClearedBy(runFor(30)));
  const completeTask = (world: FailingTasksFixture, job: JobState) => {
    const task = world.fleet.assignments.assign(job, 0, world.machines[2], 9, world.now);
    world.fleet.failures.taskCompleted(task, world.now);
  };
  assert.ok(isClearedBy(completeTask));
});

test('a team is charged at least the minimum service for a failed attempt', () => {
  // Guards against a team that is served first again and again, because its tasks fail too quickly to add service.
  const world = new FailingTasksFixture(2);
  const job = world.submit({ team: 'blue' });
  const share = 1 / 8;
  world.failTask(job, world.machines[0]);
  assert.ok(Math.abs(world.scheduler.index('blue', world.now) * 0.05 - 30 * share) < 0.1);
  assert.ok(job.service.read(world.now) > 29 * share);
  world.failTask(job, world.machines[1]);
  assert.ok(Math.abs(world.scheduler.index('blue', world.now) * 0.05 - 60 * share) < 0.2);
});

test('waiting tasks of a crash-looping job cause no scale-out and no preemption, and hold no capacity', () => {
  const world = new FailingTasksFixture(2);
  const { fleet, machines } = world;
  const running = world.submit({ id: 'j-000009', rank: 3, tasks: 2, gpus: 4 });
  machines.forEach((machine, index) => {
    const task = fleet.assignments.assign(running, index, machine, index + 1, 0);
    task.startSent = true;
    task.reportedState = 'running';
    task.runningSince = -100;
  });
  const job = world.submit({ id: 'j-000002', rank: 0, tasks: 40, gpus: 0, cpus: 1 });
  const planner = new CapacityPlanner({
    fleet,
    settings: { reserveSigmas: 0, idleHoldS: 60, memoryS: 120 },
    objectives: [],
    teams: TEAMS,
  });
  const scaleOut = () =>
    planner.plan(world.now).scaleOut.reduce((sum, { count }) => sum + count, 0);
  assert.ok(scaleOut() > 0);
  fleet.holds.hold(machines[0], job, 1000);
  machines.forEach((machine) => world.failTask(job, machine));
  assert.equal(machines[0].capacityHold, null);
  assert.equal(scaleOut(), 0);
  world.now += 100;
  job.backoffUntil = world.now - 1;
  job.spec = { ...job.spec, cpus: 16 };
  world.scheduler.round(world.now);
  assert.deepEqual(
    [...assignmentsOf(running)].filter(({ stop }) => stop !== null),
    [],
  );
  // After a longer time the job may request capacity again, because every accepted job must run eventually.
  world.now += 300;
  world.scheduler.round(world.now);
  assert.ok([...assignmentsOf(running)].some(({ stop }) => stop !== null));
});

test('preemption for a job that failed on one machine frees capacity on another machine', () => {
  // Guards against preemption on a machine from which the waiting job is excluded: it would not use the capacity.
  const world = new FailingTasksFixture(2);
  const { fleet, machines } = world;
  const job = world.submit({ id: 'j-000002', rank: 0, gpus: 4 });
  world.failTask(job, machines[0]);
  const running = world.submit({ id: 'j-000009', rank: 3, tasks: 2, gpus: 4 });
  machines.forEach((machine, index) => {
    const task = fleet.assignments.assign(running, index, machine, index + 1, 0);
    task.startSent = true;
    task.reportedState = 'running';
    // Preempting the task that started last costs least.
    task.runningSince = index === 0 ? 0 : -100;
  });
  world.now += 6;
  world.scheduler.round(world.now);
  const stopping = [...assignmentsOf(running)].filter(({ stop }) => stop !== null);
  assert.deepEqual(
    stopping.map(({ machine }) => machine),
    [machines[1]],
  );
});

test('one failing job makes at most one machine faulty and leaves the others usable', () => {
  // Guards against a job that always fails and gets the fleet drained machine by machine.
  fc.assert(
    fc.property(fc.array(fc.nat(5), { minLength: 1, maxLength: 60 }), (order) => {
      const world = new FailingTasksFixture(6);
      const job = world.submit({ tasks: 100 });
      for (const i of order) {
        world.failTask(job, world.machines[i]);
        world.now += 50;
      }
      const draining = world.machines.filter((machine) => machine.draining).length;
      assert.ok(draining <= 1);
      const failedMachines = new Set(order);
      if (failedMachines.size < 2) return;
      const usable = world.machines.filter((machine) =>
        isUsable(machine, world.fleet.settings.machineRecordBytes, world.now - 50),
      );
      assert.equal(usable.length, 6 - draining);
    }),
    PROPERTY_TEST_OPTIONS,
  );
});

test('a machine on which jobs fail that succeed elsewhere is quarantined, then drained', () => {
  const world = new FailingTasksFixture(2);
  const [faulty, healthy] = world.machines;
  const isQuarantined = () => !isUsable(faulty, world.fleet.settings.machineRecordBytes, world.now);
  for (const id of ['j-000001', 'j-000002', 'j-000003']) {
    assert.ok(!faulty.draining);
    const job = world.submit({ id });
    world.failTask(job, faulty);
    assert.ok(isQuarantined());
    const task = world.fleet.assignments.assign(job, 0, healthy, 1, world.now);
    world.fleet.failures.taskCompleted(task, world.now + 10);
    world.now += 100;
  }
  assert.deepEqual([faulty.draining, healthy.draining], [true, false]);
});
