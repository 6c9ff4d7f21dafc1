import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CapacityPlanner,
  FleetState,
  beginScaleIn,
  isBestEffort,
  JobState,
  Machine,
  NO_QUOTA,
  Scheduler,
  startConsolidation,
} from '../index.js';
import { makeFleet, makeJob, registerMachine, STANDARD_TYPE } from '../../testing/samples.js';

const GUARANTEED_QUOTA = { ...NO_QUOTA, guaranteedGpus: 100 };
const TEAMS = new Map([
  ['firm', GUARANTEED_QUOTA],
  ['best-effort', NO_QUOTA],
]);
const SCHEDULER_SETTINGS = {
  floorWeight: 0.05,
  preemptAfterS: 2,
  gangLeaseS: 20,
  stopThreshold: 0.5,
  decisionsPerRound: 200,
};
const BEST_EFFORT = { team: 'best-effort', rank: 3, class: 'g', spot: true };

function createFleet(): FleetState {
  return makeFleet({ isBestEffort: (job) => isBestEffort(job, TEAMS.get(job.team)) });
}

function createPlanner(fleet: FleetState): CapacityPlanner {
  const settings = { reserveSigmas: 2, idleHoldS: 60, memoryS: 120 };
  const objectives = [{ class: 'g', kind: 'finished', withinS: 400 }];
  return new CapacityPlanner({ fleet, settings, objectives, teams: TEAMS });
}

function createScheduler(fleet: FleetState): Scheduler {
  return new Scheduler(fleet, TEAMS, SCHEDULER_SETTINGS);
}

/** Assigns the first `tasks` tasks of the job to the machine, where they have been running since `at`. */
function runTasks(fleet: FleetState, job: JobState, on: Machine, tasks: number, at: number): void {
  for (let index = 0; index < tasks; index++) {
    const attempt = fleet.assignments.newAttempt();
    const assignment = fleet.assignments.assign(job, index, on, attempt, at);
    Object.assign(assignment, { recorded: true, startSent: true, reportedState: 'running' });
    assignment.runningSince = at;
  }
}

function provisionedCount(fleet: FleetState, now: number): number {
  return createPlanner(fleet)
    .plan(now)
    .scaleOut.reduce((sum, { count }) => sum + count, 0);
}

test('best-effort tasks do not use the processors that belong to free accelerators', () => {
  // Guards against replicas that cannot start because small tasks use all processors beside free accelerators.
  const fleet = createFleet();
  const machine = registerMachine(fleet, 'n-1');
  const service = makeJob({ id: 'j-1', team: 'firm', kind: 'service', cpus: 4, gpus: 2 });
  runTasks(fleet, fleet.addJob(service, 0, 'accepted', 0), machine, 1, 0);
  const job = makeJob({ ...BEST_EFFORT, id: 'j-2', tasks: 40, cpus: 1, gpus: 0, memory: 0.5 });
  const state = fleet.addJob(job, 0, 'accepted', 0);
  createScheduler(fleet).round(1);
  // Of the 16 processors 4 are used and 8 belong to the two free accelerators.
  assert.equal(state.assignments.size, 4);
});

test('small best-effort tasks are packed onto few machines that are likely to stay: fully used, not spot', () => {
  // Guards against writing the records of all machines when thousands of short tasks start and end.
  const fleet = createFleet();
  const gpusInUse = { usedFully: 4, usedFullyToo: 4, usedHalf: 2 };
  Object.entries(gpusInUse).forEach(([name, gpus], i) => {
    const service = makeJob({ id: `j-${i}`, team: 'firm', kind: 'service', gpus, cpus: 2 * gpus });
    runTasks(fleet, fleet.addJob(service, 0, 'accepted', 0), registerMachine(fleet, name), 1, 0);
  });
  const spot = registerMachine(fleet, 'spot', { spot: true });
  const other = makeJob({ id: 'j-8', team: 'firm', gpus: 4 });
  runTasks(fleet, fleet.addJob(other, 0, 'accepted', 0), spot, 1, 0);
  const job = makeJob({ ...BEST_EFFORT, id: 'j-9', tasks: 8, cpus: 0.25, gpus: 0, memory: 0.5 });
  fleet.addJob(job, 0, 'accepted', 0);
  createScheduler(fleet).round(1);
  const addedTasks = (name: string) => fleet.machines.get(name)!.tasks.size - 1;
  assert.deepEqual(['usedFully', 'usedFullyToo', 'usedHalf', 'spot'].map(addedTasks), [8, 0, 0, 0]);
});

test('best-effort work is preempted without a wait, but only for firm work', () => {
  const fleet = createFleet();
  const machine = registerMachine(fleet, 'n-1');
  const job = fleet.addJob(makeJob({ ...BEST_EFFORT, id: 'j-1', tasks: 4 }), 0, 'accepted', 0);
  runTasks(fleet, job, machine, 4, 0);
  const stopCount = () => [...machine.tasks.values()].filter(({ stop }) => stop !== null).length;
  fleet.addJob(makeJob({ ...BEST_EFFORT, id: 'j-2' }), 1, 'accepted', 1);
  createScheduler(fleet).round(1);
  assert.equal(stopCount(), 0);
  fleet.addJob(makeJob({ id: 'j-3', team: 'firm', rank: 2 }), 1, 'accepted', 1);
  createScheduler(fleet).round(1);
  assert.equal(stopCount(), 1);
});

test('starts of best-effort tasks wait for a heartbeat, while their stops are sent directly', () => {
  // Guards against one direct call for every few of thousands of short tasks: these calls took most of a round.
  const fleet = createFleet();
  const machine = registerMachine(fleet, 'n-1');
  Object.assign(machine, { termConfirmed: true, answeredAt: 1 });
  const job = fleet.addJob(makeJob({ ...BEST_EFFORT, id: 'j-1', tasks: 2 }), 0, 'accepted', 0);
  runTasks(fleet, job, machine, 1, 0);
  fleet.assignments.assign(job, 1, machine, fleet.assignments.newAttempt(), 1).recorded = true;
  assert.deepEqual(fleet.directOrders.nextOrders(machine, 1), []);
  for (const task of machine.tasks.values()) fleet.assignments.stop(task, 0, 1);
  const orders = fleet.directOrders.nextOrders(machine, 1);
  assert.deepEqual(
    orders.map(({ op, index }) => [op, index]),
    [['stop', 0]],
  );
});

test('a gang whose lease has ended is not stopped for work of lower rank', () => {
  // Guards against a best-effort team whose fair-share index is near zero: it would win the machines of any gang.
  const fleet = createFleet();
  const machine = registerMachine(fleet, 'n-1');
  const gang = makeJob({ id: 'j-1', team: 'firm', kind: 'gang', rank: 1, gpus: 4, checkpointS: 5 });
  runTasks(fleet, fleet.addJob(gang, 0, 'accepted', 0), machine, 1, 0);
  fleet.addJob(makeJob({ ...BEST_EFFORT, id: 'j-2' }), 0, 'accepted', 0);
  createScheduler(fleet).round(100);
  assert.equal([...machine.tasks.values()][0].stop, null);
});

test('no machine is provisioned for best-effort work until a job has waited two boot times without a task', () => {
  // Guards against a fleet that grows for best-effort work: the reserve for it alone was thousands of tasks.
  const fleet = createFleet();
  const planner = createPlanner(fleet);
  const huge = makeJob({ ...BEST_EFFORT, tasks: 25_000, gpus: 0, cpus: 0.25, memory: 1 });
  planner.jobArrived(huge, 0);
  const state = fleet.addJob(huge, 0, 'accepted', 0);
  assert.deepEqual(planner.plan(2 * STANDARD_TYPE.bootS - 1).scaleOut, []);
  const [request, ...more] = planner.plan(2 * STANDARD_TYPE.bootS).scaleOut;
  assert.deepEqual({ ...request, zone: '' }, { type: 'std', zone: '', spot: true, count: 1 });
  assert.deepEqual(more, []);
  runTasks(fleet, state, registerMachine(fleet, 'n-1'), 1, 60);
  assert.equal(provisionedCount(fleet, 300), 0);
});

test('no machine is provisioned for firm work that fits where best-effort tasks run', () => {
  const fleet = createFleet();
  const job = fleet.addJob(makeJob({ ...BEST_EFFORT, id: 'j-1', tasks: 4 }), 0, 'accepted', 0);
  runTasks(fleet, job, registerMachine(fleet, 'n-1'), 4, 0);
  fleet.addJob(makeJob({ id: 'j-2', team: 'firm', tasks: 4 }), 1, 'accepted', 1);
  assert.equal(provisionedCount(fleet, 1), 0);
});

test('best-effort work keeps a machine from scale-in only if it is a spot machine and at least half used', () => {
  const isKept = (spot: boolean, tasks: number) => {
    const fleet = createFleet();
    const job = fleet.addJob(makeJob({ ...BEST_EFFORT, tasks: 4 }), 0, 'accepted', 0);
    runTasks(fleet, job, registerMachine(fleet, 'n-1', { spot }), tasks, 0);
    return createPlanner(fleet).plan(61).scaleIn.length === 0;
  };
  assert.deepEqual([isKept(false, 4), isKept(true, 1), isKept(true, 2)], [false, false, true]);
});

test('scale-in stops tasks of a best-effort job at most as often as the job has tasks', () => {
  // Guards against tasks that never end while the fleet shrinks, since each machine they move to is removed next.
  const fleet = createFleet();
  const machines = ['n-1', 'n-2', 'n-3', 'n-4'].map((name) => registerMachine(fleet, name));
  machines.forEach((machine, i) => {
    const service = makeJob({ id: `j-${i}`, team: 'firm', kind: 'service', gpus: 4 });
    runTasks(fleet, fleet.addJob(service, 0, 'accepted', 0), machine, 1, 0);
  });
  const job = makeJob({ ...BEST_EFFORT, id: 'j-9', gpus: 0, cpus: 0.5, estimateS: 150 });
  const state = fleet.addJob(job, 0, 'accepted', 0);
  const isStopped = machines.slice(0, 3).map((machine) => {
    runTasks(fleet, state, machine, 1, 0);
    const task = machine.tasks.get('j-9/0')!;
    beginScaleIn(fleet, machine, 40);
    const { stop } = task;
    fleet.assignments.end(task, 'stopped', false, 40);
    return stop !== null;
  });
  assert.deepEqual(isStopped, [true, false, false]);
});

test('consolidation empties a machine with little firm work even if best-effort tasks run there', () => {
  const fleet = createFleet();
  const machines = [registerMachine(fleet, 'n-1'), registerMachine(fleet, 'n-2')];
  machines.forEach((machine, i) => {
    const service = makeJob({ id: `j-${i}`, team: 'firm', kind: 'service', tasks: 2 });
    runTasks(fleet, fleet.addJob(service, 0, 'accepted', 0), machine, 1 + i, 0);
    machine.images.set('i', 5);
  });
  const job = makeJob({ ...BEST_EFFORT, id: 'j-9', tasks: 40, gpus: 0, cpus: 0.5, estimateS: 150 });
  const state = fleet.addJob(job, 0, 'accepted', 0);
  runTasks(fleet, state, machines[0], 6, 0);
  const { consolidation } = createPlanner(fleet).plan(40);
  assert.equal(consolidation?.machine, machines[0]);
  startConsolidation(fleet, consolidation, 40);
  assert.ok([...machines[0].tasks.values()].every(({ stop }) => stop !== null));
});
