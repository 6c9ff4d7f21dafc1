import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReplicaGroups } from '#replicas';
import { Chance } from '../random.js';
import { aJob } from '../samples.js';
import { StandingFleet, STEADY_AT } from './standing-fleet.js';

const MACHINES = 4000;
const GROUPS = 600;
const MEMBERS = 3;

/** Counts the events that groups take in. */
class CountingGroups extends ReplicaGroups {
  events = 0;

  override apply(...args: Parameters<ReplicaGroups['apply']>): void {
    this.events++;
    super.apply(...args);
  }
}

function aFleetWithGroups() {
  const groups = new CountingGroups({
    leaseS: 10,
    heartbeatIntervalS: 1,
    random: () => 0,
    listener: { phaseChanged() {}, recovered() {} },
  });
  const makeReplicas = groups.createJobGroups.bind(groups);
  const standing = StandingFleet.ofMachines(MACHINES, new Chance(1), {}, makeReplicas);
  const { fleet, scheduler } = standing;
  groups.attach(fleet);
  for (let i = 0; i < GROUPS; i++) {
    const id = `j-${900_000 + i}`;
    const job = aJob({ id, kind: 'service', tasks: MEMBERS, gpus: 8, cpus: 30, rank: 1 });
    fleet.addJob(job, 0, 'accepted', 0, { shape: { members: MEMBERS, sameZone: true } });
  }
  while (scheduler.place(STEADY_AT) > 0);
  const members = [...fleet.machines.values()].flatMap(({ tasks }) => [...tasks.values()]);
  for (const each of members) fleet.assignments.markRecorded(each, STEADY_AT);
  for (const each of members) each.job.replicas!.memberRunning(each, STEADY_AT);
  standing.settle(STEADY_AT);
  return { standing, groups };
}

test('on 4,000 machines, work per report and per round does not grow with replica groups that rest', () => {
  const { standing, groups } = aFleetWithGroups();
  const { fleet, scheduler } = standing;
  assert.equal(groups.countByPhase().whole, GROUPS);
  groups.events = 0;
  const looked = { machines: 0 };
  const { values } = fleet.machines;
  fleet.machines.values = function (this: typeof fleet.machines) {
    looked.machines++;
    return values.call(this);
  };
  for (const machine of values.call(fleet.machines)) {
    const outcome = fleet.heartbeats.handle(standing.heartbeatOf(machine), STEADY_AT);
    assert.deepEqual(outcome, { kind: 'answer', orders: [] }, machine.name);
  }
  assert.equal(groups.events, 0, 'reports of members that run are no events');
  assert.equal(looked.machines, 0, 'no report looks at other machines');
  groups.expireStarts(STEADY_AT + 1);
  assert.equal(scheduler.round(STEADY_AT + 1), 0);
  assert.equal(groups.events, 0);
  assert.equal(looked.machines, 0, 'no round walks the machines for them');
});
