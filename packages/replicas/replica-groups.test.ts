import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Assignment,
  CapacityPlanner,
  type FleetState,
  type JobState,
  NO_QUOTA,
  Scheduler,
  type TeamQuota,
} from '#core';
import type { Job } from '#wire';
import { aFleet, aJob, aMachine, aHeartbeat } from '#testing';
import type { Recovery } from './replica-groups.js';
import { ReplicaGroups } from './replica-groups.js';

const SCHEDULER_OPTIONS = {
  floorWeight: 0.05,
  preemptAfterS: 2,
  gangLeaseS: 120,
  stopThreshold: 0.5,
  decisionsPerRound: 200,
};

/** A fleet with replica groups, whose machines have four GPUs each and alternate between the zones a and b. */
class GroupSetup {
  readonly recovered: Recovery[] = [];
  readonly groups = new ReplicaGroups({
    leaseS: 10,
    heartbeatIntervalS: 1,
    random: () => 1,
    listener: { phaseChanged() {}, recovered: (each) => void this.recovered.push(each) },
  });
  readonly fleet: FleetState;
  readonly scheduler: Scheduler;
  private sequence = 0;

  constructor(machines: number, quota: TeamQuota = NO_QUOTA) {
    this.fleet = aFleet({ makeReplicas: (job, shape) => this.groups.createJobGroups(job, shape) });
    this.groups.attach(this.fleet);
    for (let i = 0; i < machines; i++) this.addMachine(`n-${i}`, i % 2 === 0 ? 'a' : 'b');
    this.scheduler = new Scheduler(this.fleet, new Map([['red', quota]]), SCHEDULER_OPTIONS);
  }

  addMachine(name: string, zone: string) {
    return Object.assign(aMachine(this.fleet, name, { zone }), {
      agentEpoch: 1,
      termConfirmed: true,
    });
  }

  submit(own: Partial<Job>, members: number, sameZone = false, now = 0): JobState {
    const job = aJob({ kind: 'service', gpus: 4, rank: 1, ...own });
    return this.fleet.addJob(job, now, 'accepted', now, { shape: { members, sameZone } });
  }

  /** Marks all places as recorded, and has every machine report its tasks as running. */
  recordAndRunAll(now: number): void {
    for (const assignment of this.assignments())
      this.fleet.assignments.markRecorded(assignment, now);
    for (const { name } of this.fleet.machines.values()) this.heartbeat(name, now);
  }

  heartbeat(name: string, now: number): void {
    const machine = this.fleet.machines.get(name)!;
    const tasks = [...machine.tasks.values()]
      .filter(({ stop }) => stop === null)
      .map(({ job, index, attempt }) => {
        const ref = { job: job.spec.id, index, attempt };
        return { ...ref, state: 'running' as const, cause: null, checkpointed: false };
      });
    const { zone } = machine;
    this.fleet.heartbeats.handle(
      aHeartbeat({ machine: name, zone, sequence: ++this.sequence, tasks }),
      now,
    );
  }

  assignments(): Assignment[] {
    return [...this.fleet.machines.values()].flatMap(({ tasks }) => [...tasks.values()]);
  }
}

test('a replica gets places for all members or for none, also while other replicas wait', () => {
  const setup = new GroupSetup(5);
  setup.submit({ id: 'j-1', tasks: 3 }, 3);
  setup.submit({ id: 'j-2', tasks: 3 }, 3);
  assert.equal(setup.scheduler.place(1), 3);
  const placed = setup.assignments();
  assert.equal(
    new Set(placed.map(({ job }) => job)).size,
    1,
    'the other replica holds no capacity',
  );
  assert.equal(new Set(placed.map(({ attempt }) => attempt)).size, 1, 'one generation');
  setup.addMachine('n-5', 'b');
  assert.equal(setup.scheduler.place(2), 3);
});

test('the GPU limit of a team counts all members of a replica', () => {
  const setup = new GroupSetup(6, { ...NO_QUOTA, gpuLimit: 20 });
  setup.submit({ tasks: 6 }, 3);
  assert.equal(setup.scheduler.place(1), 3);
  assert.equal(setup.fleet.usage.amountsOfTeam('red').gpus, 12);
});

test('members that must share a zone are placed in one zone, once a zone has capacity for all of them', () => {
  const setup = new GroupSetup(4);
  setup.submit({ tasks: 3 }, 3, true);
  assert.equal(setup.scheduler.place(1), 0, 'two machines in each zone');
  setup.addMachine('n-4', 'b');
  assert.equal(setup.scheduler.place(2), 3);
  assert.deepEqual(new Set(setup.assignments().map(({ machine }) => machine.zone)), new Set(['b']));
});

test('machines for members that must share a zone are requested in one zone, though others have capacity, too', () => {
  const setup = new GroupSetup(4);
  setup.submit({ tasks: 3 }, 3, true);
  const planner = new CapacityPlanner({
    fleet: setup.fleet,
    settings: { reserveSigmas: 0, idleHoldS: 60, memoryS: 120 },
    objectives: [],
    teams: new Map([['red', NO_QUOTA]]),
  });
  const { scaleOut } = planner.plan(1);
  assert.equal(scaleOut.length, 1);
  assert.equal(scaleOut[0].count, 1, 'the zone has two machines already');
  planner.scaleOutRefused(scaleOut[0], 100);
  const [other] = planner.plan(2).scaleOut;
  assert.notEqual(other.zone, scaleOut[0].zone, 'a zone that refuses machines is avoided');
  setup.addMachine('n-4', scaleOut[0].zone);
  setup.fleet.machines.updateTotals();
  assert.deepEqual(planner.plan(3).scaleOut, []);
});

test('a start is sent only once the places of all members are durable', () => {
  const setup = new GroupSetup(3);
  setup.submit({ tasks: 3 }, 3);
  setup.scheduler.place(1);
  const [first, second, third] = setup.assignments();
  const countOrders = (name: string, sequence: number) => {
    const { zone } = setup.fleet.machines.get(name)!;
    const outcome = setup.fleet.heartbeats.handle(aHeartbeat({ machine: name, zone, sequence }), 1);
    return outcome.kind === 'answer' ? outcome.orders.length : -1;
  };
  setup.fleet.assignments.markRecorded(first, 1);
  setup.fleet.assignments.markRecorded(second, 1);
  assert.equal(countOrders(first.machine.name, 1), 0);
  setup.fleet.assignments.markRecorded(third, 1);
  assert.equal(countOrders(first.machine.name, 2), 1);
});

test('when a member is lost, the others are stopped, their machines are held, and all restart together', () => {
  const setup = new GroupSetup(4);
  setup.submit({ tasks: 3 }, 3);
  setup.scheduler.place(1);
  setup.recordAndRunAll(2);
  assert.equal(setup.groups.countByPhase().whole, 1);
  const before = setup.assignments();
  setup.fleet.removeMachine(before[0].machine.name, 50);
  const survivors = before.slice(1);
  assert.ok(survivors.every(({ stop }) => stop !== null));
  assert.ok(survivors.every(({ machine }) => machine.capacityHold !== null));
  assert.equal(setup.scheduler.place(50), 0, 'members of the old generation are not gone yet');
  for (const { machine } of survivors) setup.heartbeat(machine.name, 51);
  assert.equal(setup.scheduler.place(51), 3);
  const after = setup.assignments();
  assert.equal(new Set(after.map(({ attempt }) => attempt)).size, 1);
  assert.ok(after[0].attempt > before[0].attempt);
  for (const { machine } of survivors) assert.ok(after.some((each) => each.machine === machine));
  setup.recordAndRunAll(52);
  assert.deepEqual(
    setup.recovered.map(({ reason, tookS }) => ({ reason, tookS })),
    [{ reason: 'member-lost', tookS: 2 }],
  );
});

test('a start that misses its deadline releases its capacity, and the next one has a backoff and twice the time', () => {
  const setup = new GroupSetup(3);
  setup.submit({ tasks: 3, imageGb: 5 }, 3);
  setup.scheduler.place(1);
  // Deadline: two leases of 10 s, and three times the 5 s of a fetch.
  setup.groups.expireStarts(36);
  assert.equal(setup.assignments().length, 3);
  setup.groups.expireStarts(36.1);
  assert.equal(setup.assignments().length, 0, 'no start was sent, so all members are gone at once');
  assert.equal(setup.scheduler.place(46), 0);
  assert.equal(setup.scheduler.place(46.1), 3);
  setup.groups.expireStarts(46.1 + 70);
  assert.equal(setup.assignments().length, 3, 'the second start has twice the time');
  setup.groups.expireStarts(46.1 + 70.1);
  assert.equal(setup.assignments().length, 0);
});

test('replicas under repair start together only up to the limit, urgent ranks first', () => {
  const setup = new GroupSetup(24);
  for (let i = 0; i < 12; i++) setup.submit({ id: `j-${i}`, tasks: 2, rank: i < 6 ? 2 : 1 }, 2);
  setup.scheduler.place(1);
  setup.recordAndRunAll(2);
  assert.equal(setup.groups.countByPhase().whole, 12);
  const inZone = [...setup.fleet.machines.values()].filter(({ zone }) => zone === 'a');
  for (const { name } of inZone) setup.fleet.removeMachine(name, 50);
  for (let i = 0; i < 12; i++) setup.addMachine(`m-${i}`, 'b');
  for (const { name } of setup.fleet.machines.values()) setup.heartbeat(name, 51);
  setup.scheduler.place(52);
  const starting = new Set(
    setup
      .assignments()
      .filter(({ recorded }) => !recorded)
      .map(({ job }) => job),
  );
  assert.ok(starting.size >= 1 && starting.size <= 4, `${starting.size} repairs at once`);
  assert.ok([...starting].every(({ spec }) => spec.rank === 1));
});

test('a new leader adopts a replica whose members are all in its records, and ends one that lacks members there', () => {
  const setup = new GroupSetup(5);
  const whole = setup.submit({ id: 'j-1', tasks: 3 }, 3);
  const partial = setup.submit({ id: 'j-2', tasks: 3 }, 3);
  const machines = [...setup.fleet.machines.values()];
  [0, 1, 2].forEach((index) =>
    setup.fleet.assignments.inherit(whole, index, machines[index], 77, 0),
  );
  [0, 1].forEach((index) =>
    setup.fleet.assignments.inherit(partial, index, machines[index + 3], 78, 0),
  );
  setup.groups.recordsLoaded(0);
  const stopped = setup.assignments().filter(({ stop }) => stop !== null);
  assert.deepEqual(new Set(stopped.map(({ job }) => job.spec.id)), new Set(['j-2']));
  assert.equal(stopped.length, 2);
});

test('an urgent job that preempts one member stops the whole replica', () => {
  const setup = new GroupSetup(3);
  setup.submit({ id: 'j-1', tasks: 3, rank: 3 }, 3);
  setup.scheduler.place(1);
  setup.recordAndRunAll(2);
  setup.fleet.addJob(aJob({ id: 'j-2', rank: 0, gpus: 4 }), 40, 'accepted', 40);
  setup.scheduler.round(60);
  const members = setup.assignments().filter(({ job }) => job.spec.id === 'j-1');
  assert.equal(members.length, 3);
  assert.ok(members.every(({ stop }) => stop !== null));
});

test('tasks are preempted for a replica only if that makes room for all of its members', () => {
  const setup = new GroupSetup(2);
  const low = setup.fleet.addJob(
    aJob({ id: 'j-1', kind: 'service', rank: 3, tasks: 2, gpus: 4 }),
    0,
    'accepted',
    0,
  );
  setup.scheduler.place(1);
  setup.recordAndRunAll(2);
  setup.submit({ id: 'j-2', tasks: 3, rank: 0 }, 3, false, 10);
  setup.scheduler.round(60);
  const isStopped = () => [...low.assignments.values()].flat().map(({ stop }) => stop !== null);
  assert.deepEqual(isStopped(), [false, false], 'a third machine is missing');
  setup.addMachine('n-2', 'a');
  setup.fleet.machines.updateTotals();
  setup.scheduler.round(61);
  assert.deepEqual(isStopped(), [true, true]);
});

test('a replica on a machine to be reclaimed moves once there is capacity elsewhere, or when little time is left', () => {
  const setup = new GroupSetup(3);
  setup.submit({ tasks: 3 }, 3);
  setup.scheduler.place(1);
  setup.recordAndRunAll(2);
  const [member] = setup.assignments();
  setup.fleet.machines.setReclaimAt(member.machine, 100);
  member.job.replicas!.moveOff(member, 50);
  assert.equal(member.stop, null, 'there is no other machine');
  member.job.replicas!.moveOff(member, 91);
  assert.ok(setup.assignments().every(({ stop }) => stop !== null));
  assert.equal(setup.groups.countByPhase().moving, 1);
});
