import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Fault, ReplicaPhase } from '../../simulation/index.js';
import {
  countPhase,
  faultDuringRepair,
  FAULT_INTERVAL_S,
  replicaMachineDeath,
  runReplicaScenario,
  REPLICAS_WHOLE_S,
} from './replica-scenarios.js';

const PHASES: ReplicaPhase[] = ['repairing', 'reserved-again', 'starting-again', 'whole-again'];

/** One repair for each phase, with the fault injected when the repair reaches that phase. */
function faultsInEachPhase(fault: object): Fault[] {
  return PHASES.flatMap((atReplicaPhase, index) => {
    return faultDuringRepair(index * FAULT_INTERVAL_S, { ...fault, atReplicaPhase } as Fault);
  });
}

test('the leader crashes in each phase of a repair, and the next leader completes the repair', async () => {
  const faults = faultsInEachPhase({ kind: 'controller-crash', controllers: 'leader', downS: 4 });
  await runReplicaScenario({ name: 'owner ends', faults }, (result) => {
    const crashes = result.faults.of('controller-crash');
    assert.equal(crashes.length, PHASES.length);
    assert.ok(result.leaders.length > PHASES.length, 'each crash led to another leader');
  });
});

test('a new leader restarts no replica that is whole', async () => {
  const crash = {
    kind: 'controller-crash',
    controllers: 'leader',
    downS: 4,
    atS: REPLICAS_WHOLE_S,
  } as const;
  await runReplicaScenario(
    { name: 'adoption', faults: [crash] },
    ({ leaders, replicas, faults }) => {
      const [{ fromS }] = faults.of('controller-crash');
      assert.ok(
        leaders.some(({ atS }) => atS > fromS),
        'another controller took over',
      );
      const generations = new Map<string, Set<number>>();
      for (const { atS, job, marks } of replicas.answers) {
        if (atS < fromS) continue;
        const seen = generations.get(job) ?? new Set<number>();
        generations.set(job, seen.add(marks[0].generation));
      }
      assert.ok(generations.size >= 2, `${generations.size} replicas answer`);
      for (const [job, seen] of generations) assert.equal(seen.size, 1, `${job} was not restarted`);
    },
  );
});

test('the new leader crashes, too, before the replica is whole', async () => {
  const faults = [
    ...faultDuringRepair(0, {
      kind: 'controller-crash',
      controllers: 'leader',
      downS: 6,
      atReplicaPhase: 'repairing',
    }),
    {
      kind: 'controller-crash',
      controllers: 'leader',
      downS: 6,
      atS: REPLICAS_WHOLE_S,
      afterTakeoverS: 0.6,
    } as const,
  ];
  await runReplicaScenario({ name: 'two owners end', faults }, (result) => {
    const [first, second] = result.faults.of('controller-crash');
    assert.notDeepEqual(first.controllers, second.controllers);
    assert.ok(second.fromS - first.fromS < 15, 'the second crash soon follows the first');
  });
});

test('the leader freezes during a repair, and resumes after another leader has raised the generation', async () => {
  const faults = faultDuringRepair(0, {
    kind: 'controller-freeze',
    controllers: 'leader',
    forS: 14,
    atReplicaPhase: 'starting-again',
  });
  await runReplicaScenario({ name: 'standstill', faults, seeds: [1, 2, 3] }, (result) => {
    const [{ fromS, untilS, controllers }] = result.faults.of('controller-freeze');
    const successor = result.leaders.find(({ atS }) => atS > fromS);
    assert.ok(
      successor && successor.atS < untilS,
      'another controller led before the frozen one resumed',
    );
    assert.notEqual(successor.leader, controllers[0]);
  });
});

test('the state service refuses only the leader, then has an outage longer than a lease', async () => {
  const faults = [
    ...faultDuringRepair(0, {
      kind: 'state-refuses',
      controllers: 'leader',
      forS: 6,
      atReplicaPhase: 'repairing',
    }),
    { kind: 'state-outage', atS: REPLICAS_WHOLE_S + 18, forS: 20 } as const,
  ];
  await runReplicaScenario({ name: 'refused, then an outage', faults }, (result) => {
    const [refused] = result.faults.of('state-refuses');
    const [outage] = result.faults.of('state-outage');
    assert.ok(outage.fromS - refused.untilS < 12, 'the outage soon follows the refusals');
    assert.equal(outage.untilS - outage.fromS, 20);
  });
});

test('all controllers restart during a repair', async () => {
  const faults = (['repairing', 'starting-again'] as const).flatMap((atReplicaPhase, index) =>
    faultDuringRepair(index * FAULT_INTERVAL_S, {
      kind: 'controller-crash',
      controllers: 'all',
      downS: 1,
      atReplicaPhase,
    }),
  );
  await runReplicaScenario({ name: 'all restart', faults }, (result) => {
    const crashes = result.faults.of('controller-crash');
    assert.ok(crashes.every(({ controllers }) => controllers.length === 3));
  });
});

test('the shard repeatedly migrates to another controller while replicas are repaired', async () => {
  const deaths = [0, 20, 40].map((afterS) => replicaMachineDeath(afterS));
  const moves = { kind: 'part-moves', atS: REPLICAS_WHOLE_S, forS: 60, everyS: 1.5 } as const;
  await runReplicaScenario({ name: 'planned moves', faults: [moves, ...deaths] }, (result) => {
    assert.ok(result.moves.counts.switched >= 20, `${result.moves.counts.switched} migrations`);
    assert.ok(countPhase(result, 'whole-again') >= 1);
  });
});

test('late commands of a former leader arrive after the new generation is whole', async () => {
  const late = {
    kind: 'late-commands',
    atS: REPLICAS_WHOLE_S,
    forS: 40,
    share: 0.7,
    delayS: [8, 25] as [number, number],
  } as const;
  const crash = faultDuringRepair(1, {
    kind: 'controller-crash',
    controllers: 'leader',
    downS: 4,
    atReplicaPhase: 'starting-again',
  });
  await runReplicaScenario(
    { name: 'late commands', faults: [late, ...crash], seeds: [1, 2, 3] },
    (result) => {
      assert.equal(result.faults.of('controller-crash').length, 1);
      assert.ok(countPhase(result, 'whole-again') >= 1);
    },
  );
});
