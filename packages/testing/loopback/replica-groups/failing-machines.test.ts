import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ScenarioResult } from '../../simulation/index.js';
import {
  CLUSTER,
  countPhase,
  faultDuringRepair,
  FAULT_INTERVAL_S,
  replicaMachineDeath,
  runReplicaScenario,
  REPLICAS_WHOLE_S,
} from './replica-scenarios.js';

test('a machine fails halfway through a start, and all members of the replica start again', async () => {
  const faults = faultDuringRepair(0, {
    kind: 'machine-death',
    atReplicaPhase: 'starting-again',
    machines: { ofReplica: 1 },
  });
  await runReplicaScenario({ name: 'death in a start', faults }, (result) => {
    const deaths = result.faults.of('machine-death').flatMap(({ machines }) => machines);
    assert.equal(deaths.length, 2);
    assert.ok(countPhase(result, 'repairing') >= 2, 'two generations were repaired');
    assert.ok(countPhase(result, 'whole-again') >= 1);
  });
});

test('a second machine fails during a repair, and the same repair replaces its members, too', async () => {
  const faults = faultDuringRepair(0, {
    kind: 'machine-death',
    atReplicaPhase: 'repairing',
    machines: { ofReplica: 2 },
  });
  await runReplicaScenario({ name: 'death in a repair', faults }, (result) => {
    const [, second] = result.faults.of('machine-death');
    assert.ok(second.machines.length >= 1);
    assert.ok(countPhase(result, 'whole-again') >= 1);
  });
});

test('survivors start again on their machines, which have the image, and only the lost member fetches it', async () => {
  await runReplicaScenario(
    { name: 'image at the survivors', faults: [replicaMachineDeath(0)] },
    (result) => {
      const [{ fromS, machines: dead }] = result.faults.of('machine-death');
      const lost = result.timeline
        .of('task-left', fromS, fromS + 1)
        .filter(({ machine }) => dead.includes(machine));
      assert.ok(lost.length > 0, 'members were lost');
      const job = lost[0].task.job;
      const before = new Set(
        result.timeline
          .of('task-started', 0, fromS)
          .filter(({ task }) => task.job === job)
          .map(({ machine }) => machine),
      );
      const after = result.timeline
        .of('task-started', fromS)
        .filter(({ task }) => task.job === job)
        .map(({ machine }) => machine);
      const survivors = [...before].filter((machine) => !dead.includes(machine));
      assert.ok(survivors.length > 0, 'a member survived on another machine');
      for (const machine of survivors)
        assert.ok(after.includes(machine), `${machine} is used again`);
    },
  );
});

test('a member that hangs and resumes joins no other generation', async () => {
  for (const forS of [6, 25]) {
    const hang = {
      kind: 'machine-hang',
      atS: REPLICAS_WHOLE_S,
      forS,
      machines: { ofReplica: 1 },
    } as const;
    await runReplicaScenario({ name: `hang of ${forS} s`, faults: [hang] }, (result) => {
      const [{ fromS, untilS }] = result.faults.of('machine-hang');
      const [job] = new Set(result.replicas.answers.map((answer) => answer.job));
      assert.ok(job !== undefined);
      const during = result.replicas.answers.filter(({ atS }) => atS > fromS + 1 && atS < untilS);
      assert.ok(during.length > 0, 'other replicas answer during the hang');
      if (forS > 20)
        assert.ok(countPhase(result, 'repairing') >= 1, 'the lease expired during the hang');
    });
  }
});

test('a network partition separates the members of a replica, with a controller on each side', async () => {
  const faults = (['drop', 'hold'] as const).map((mode, index) => {
    const atS = REPLICAS_WHOLE_S + index * 2 * FAULT_INTERVAL_S;
    return { kind: 'zone-cut', zone: 'a', mode, atS, forS: 20 } as const;
  });
  await runReplicaScenario({ name: 'split', faults }, (result) => {
    const cuts = result.faults.of('zone-cut');
    assert.ok(
      cuts.every(({ controllers, machines }) => controllers.length > 0 && machines.length > 0),
    );
    assert.ok(countPhase(result, 'repairing') >= 1, 'members were lost in the partition');
  });
});

test('a cancellation during a repair or a restart ends all members in time', async () => {
  const faults = [
    ...faultDuringRepair(0, { kind: 'cancel-now', count: 40, atReplicaPhase: 'repairing' }),
    ...faultDuringRepair(FAULT_INTERVAL_S, {
      kind: 'cancel-now',
      count: 40,
      atReplicaPhase: 'starting-again',
    }),
  ];
  const options = { name: 'cancellations', faults: faults.slice(0, 2), allowBrokenAtEnd: true };
  await runReplicaScenario(options, (result) => {
    assertReplicasCancelled(result);
  });
  await runReplicaScenario({ ...options, faults: faults.slice(2) }, (result) => {
    assertReplicasCancelled(result);
  });
});

function assertReplicasCancelled({ faults, timeline, replicas }: ScenarioResult): void {
  const [{ fromS }] = faults.of('cancel-now');
  const cancelled = timeline.of('cancel-asked', fromS).map(({ job }) => job);
  const answered = new Set(replicas.answers.map(({ job }) => job));
  assert.ok(cancelled.filter((job) => answered.has(job)).length >= 2, 'replicas were cancelled');
}

test('the replicas of a team at its accelerator limit are repaired within the limit', async () => {
  const { deployment } = CLUSTER;
  const teams = deployment.teams.map((team) => ({ ...team, gpus: 0, gpus_max: 24 }));
  const cluster = { deployment: { ...deployment, teams } };
  const faults = [replicaMachineDeath(0), replicaMachineDeath(FAULT_INTERVAL_S)];
  // A replica takes twelve accelerators, so two replicas of a team can be whole at the same time.
  const options = { name: 'limit', faults, cluster, allowBrokenAtEnd: true, seeds: [1, 2, 3] };
  await runReplicaScenario(options, (result) => {
    assert.ok(countPhase(result, 'whole-again') >= 1);
    const jobs = result.timeline
      .of('job-submitted')
      .filter(({ job }) => job.class === CLUSTER.deployment.objectives[0].class);
    const answering = new Set(
      result.replicas.answers
        .filter(({ atS }) => atS > result.scenario.lengthS - 10)
        .map(({ job }) => job),
    );
    for (const { name } of teams) {
      const own = jobs.filter(({ job }) => job.team === name).map(({ id }) => id);
      const whole = own.filter((id) => answering.has(id));
      assert.equal(whole.length, Math.min(2, own.length), `replicas of ${name} at the end`);
    }
  });
});

test('a member dies during an outage of the state service, and the replica is repaired after the outage', async () => {
  const atS = REPLICAS_WHOLE_S;
  const faults = [{ kind: 'state-outage', atS, forS: 25 } as const, replicaMachineDeath(2)];
  await runReplicaScenario({ name: 'outage', faults }, (result) => {
    const [{ untilS }] = result.faults.of('state-outage');
    const [{ fromS, machines: dead }] = result.faults.of('machine-death');
    assert.ok(dead.length > 0);
    const started = result.timeline
      .of('task-started', fromS + 1, untilS)
      .filter(({ task }) => task.index >= 0 && task.job.length > 0);
    const replicaStarts = started.filter(({ task }) =>
      result.replicas.answers.some(({ job }) => job === task.job),
    );
    assert.deepEqual(replicaStarts, [], 'no member starts without a record');
    assert.ok(countPhase(result, 'whole-again') >= 1);
  });
});

test('spot notices for two members of one replica and for members of another move both replicas as a whole', async () => {
  const notice = {
    kind: 'machine-taken',
    atS: REPLICAS_WHOLE_S,
    machines: { ofReplica: 2 },
    noticeS: 25,
  } as const;
  const another = { ...notice, atS: REPLICAS_WHOLE_S + 1, machines: { ofReplica: 3 } } as const;
  const options = { name: 'notices', faults: [notice, another], template: { spot: true } };
  await runReplicaScenario(options, (result) => {
    const taken = result.faults.of('machine-taken').flatMap(({ machines }) => machines);
    assert.ok(taken.length >= 2, `${taken.length} machines are taken`);
    assert.ok(countPhase(result, 'moving') >= 1, 'a replica was moved');
  });
});
