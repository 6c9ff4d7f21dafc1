import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReplicaGroups } from '#replicas';
import { SeededRandom } from '../random.js';
import { makeJob } from '../samples.js';
import { FleetFixture, SETTLED_AT } from './fleet-fixture.js';

const MACHINES = 4000;
const GROUPS = 600;
const MEMBERS = 3;

/** Counts the events that are applied to replica groups. */
class CountingGroups extends ReplicaGroups {
  events = 0;

  override apply(...args: Parameters<ReplicaGroups['apply']>): void {
    this.events++;
    super.apply(...args);
  }
}

function createFleetWithGroups() {
  const groups = new CountingGroups({
    leaseS: 10,
    heartbeatIntervalS: 1,
    random: () => 0,
    listener: { phaseChanged() {}, recovered() {} },
  });
  const makeReplicas = groups.createJobGroups.bind(groups);
  const fixture = FleetFixture.withMachines(MACHINES, new SeededRandom(1), {}, makeReplicas);
  const { fleet, scheduler } = fixture;
  groups.attach(fleet);
  for (let i = 0; i < GROUPS; i++) {
    const id = `j-${900_000 + i}`;
    const job = makeJob({ id, kind: 'service', tasks: MEMBERS, gpus: 8, cpus: 30, rank: 1 });
    fleet.addJob(job, 0, 'accepted', 0, { shape: { members: MEMBERS, sameZone: true } });
  }
  while (scheduler.place(SETTLED_AT) > 0);
  const members = [...fleet.machines.values()].flatMap(({ tasks }) => [...tasks.values()]);
  for (const each of members) fleet.assignments.markRecorded(each, SETTLED_AT);
  for (const each of members) each.job.replicas!.memberRunning(each, SETTLED_AT);
  fixture.settle(SETTLED_AT);
  return { fixture, groups };
}

test('on 4,000 machines, idle replica groups add no work to heartbeats and rounds', () => {
  const { fixture, groups } = createFleetWithGroups();
  const { fleet, scheduler } = fixture;
  assert.equal(groups.countByPhase().whole, GROUPS);
  groups.events = 0;
  const reads = { machines: 0 };
  const { values } = fleet.machines;
  fleet.machines.values = function (this: typeof fleet.machines) {
    reads.machines++;
    return values.call(this);
  };
  for (const machine of values.call(fleet.machines)) {
    const outcome = fleet.heartbeats.handle(fixture.heartbeatOf(machine), SETTLED_AT);
    assert.deepEqual(outcome, { kind: 'answer', orders: [] }, machine.name);
  }
  assert.equal(groups.events, 0, 'heartbeats of running members apply no events');
  assert.equal(reads.machines, 0, 'no heartbeat iterates over the machines');
  groups.expireStarts(SETTLED_AT + 1);
  assert.equal(scheduler.round(SETTLED_AT + 1), 0);
  assert.equal(groups.events, 0);
  assert.equal(reads.machines, 0, 'no round iterates over the machines');
});
