import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aFleet, aJob, aMachine } from '#testing';
import { ReplicaGroups } from './replica-groups.js';
import { replicaRows } from './replica-rows.js';

test('rows list replicas that are not whole first, with the reason and the time in the phase', () => {
  const groups = new ReplicaGroups({
    leaseS: 10,
    heartbeatIntervalS: 1,
    random: () => 0,
    listener: { phaseChanged() {}, recovered() {} },
  });
  const fleet = aFleet({ makeReplicas: (job, shape) => groups.createJobGroups(job, shape) });
  groups.attach(fleet);
  const machines = ['n-1', 'n-2'].map((name) => aMachine(fleet, name));
  for (const [number, id] of ['j-1', 'j-2'].entries()) {
    const spec = aJob({ id, kind: 'service', tasks: 2 });
    const job = fleet.addJob(spec, 0, 'accepted', 0, {
      shape: { members: 2, sameZone: false },
    });
    const generation = 70 + number;
    machines.forEach((machine, index) => {
      const member = fleet.assignments.assign(job, index, machine, generation, 1);
      fleet.assignments.markRecorded(member, 1);
      member.startSent = true;
      job.replicas!.memberRunning(member, 5);
    });
  }
  const [lost] = fleet.jobs.get('j-2')!.assignments.get(0)!;
  fleet.assignments.end(lost, 'error', false, 20);
  const rows = replicaRows(groups, 24);
  assert.deepEqual(
    rows.map(({ job, generation, phase, forS, why, machines: on }) => [
      job,
      generation,
      phase,
      forS,
      why,
      on,
    ]),
    [
      ['j-2', 71, 'repairing', 4, 'member-lost', ['n-2']],
      ['j-1', 70, 'whole', 19, null, ['n-1', 'n-2']],
    ],
  );
});
