import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BUSY_FROM_S } from '../../fault-combinations/steady-work.js';
import type { Fault, MigrationPhase } from '../../simulation/index.js';
import {
  oneFaultPerMigration,
  MIGRATION_INTERVAL_S,
  runMigrationScenario,
} from './migration-scenarios.js';

const PHASES: MigrationPhase[] = ['requested', 'prepared', 'quiesced', 'switched'];
const SIDES = ['move-source', 'move-target'] as const;

/** One fault of the source and one of the target for each phase of a migration. */
function faultsOnEachSide(fault: Omit<Fault, 'atS' | 'controllers'>): Fault[] {
  const each = PHASES.flatMap((atMovePhase) =>
    SIDES.map((side) => ({ ...fault, atMovePhase, controllers: side })),
  );
  return oneFaultPerMigration(each);
}

test('tasks keep running through fifty migrations, and no migration fails', async () => {
  const moving = { name: 'fifty moves', movingS: 100, everyS: 2, faults: [] };
  await runMigrationScenario(moving, [1, 2], (result) => {
    const { timeline, leaders, moves, controllers } = result;
    const switches = leaders.filter(({ atS }) => atS >= BUSY_FROM_S);
    assert.ok(moves.counts.switched >= 48, `${moves.counts.switched} migrations`);
    assert.equal(switches.length, moves.counts.switched, 'the leader changes only by migration');
    const movesBetween = (fromS: number, untilS: number) =>
      switches.filter(({ atS }) => atS > fromS && atS < untilS).length;
    const startedAt = new Map(
      timeline.of('task-started').map(({ atS, task: { job, index } }) => [`${job}/${index}`, atS]),
    );
    const completed = timeline
      .of('task-completed', BUSY_FROM_S)
      .filter(({ atS, job, index }) => movesBetween(startedAt.get(`${job}/${index}`)!, atS) > 0);
    assert.ok(
      completed.length >= 20,
      `${completed.length} tasks ran across a migration and completed`,
    );
    const paused = controllers.flatMap(({ log }) =>
      log.entries('shard migration undone: decisions resume'),
    );
    assert.deepEqual(paused, [], 'no migration failed');
  });
});

test('source or target crashes in any phase of a migration, and one controller leads the shard afterwards', async () => {
  const faults = faultsOnEachSide({ kind: 'controller-crash', downS: 2 } as Fault);
  const movingS = MIGRATION_INTERVAL_S * (faults.length + 3);
  await runMigrationScenario(
    { name: 'crashes', movingS, everyS: MIGRATION_INTERVAL_S, faults },
    [1],
    (result) => {
      assert.equal(result.faults.of('controller-crash').length, faults.length);
    },
  );
});

test('source or target freezes in any phase of a migration, and resumes with outdated state', async () => {
  const faults = faultsOnEachSide({ kind: 'controller-freeze', forS: 5 } as Fault);
  const movingS = MIGRATION_INTERVAL_S * (faults.length + 3);
  await runMigrationScenario(
    { name: 'standstills', movingS, everyS: MIGRATION_INTERVAL_S, faults },
    [1],
    (result) => {
      assert.equal(result.faults.of('controller-freeze').length, faults.length);
    },
  );
});

test('source or target loses the state service or its peers in any phase of a migration', async () => {
  const cut = { kind: 'controller-cut', forS: 5, mode: 'hold' };
  for (const from of [['state'], ['controllers']]) {
    const faults = faultsOnEachSide({ ...cut, from } as Fault);
    const movingS = MIGRATION_INTERVAL_S * (faults.length + 3);
    const name = `cut from ${from}`;
    await runMigrationScenario(
      { name, movingS, everyS: MIGRATION_INTERVAL_S, faults },
      [1],
      () => {},
    );
  }
});

test('answers of the state service are lost, or its writes are late, in each phase of a migration', async () => {
  const phases: MigrationPhase[] = ['requested', 'prepared', 'quiesced'];
  const faults = oneFaultPerMigration(
    phases.flatMap((atMovePhase) => [
      { kind: 'lost-answers', share: 1, forS: 0.5, atMovePhase },
      { kind: 'late-writes', share: 1, forS: 0.5, delayS: [3, 8], atMovePhase },
    ]) as Fault[],
  );
  const movingS = MIGRATION_INTERVAL_S * (faults.length + 3);
  await runMigrationScenario(
    { name: 'lost and late', movingS, everyS: MIGRATION_INTERVAL_S, faults },
    [1, 2],
    () => {},
  );
});

test('the state service has an outage longer than a lease in any phase of a migration', async () => {
  const faults = oneFaultPerMigration(
    PHASES.map((atMovePhase) => ({ kind: 'state-outage', forS: 14, atMovePhase })) as Fault[],
  ).map(
    (fault, index) =>
      ({ ...fault, atS: BUSY_FROM_S + 1 + index * 2 * MIGRATION_INTERVAL_S }) as Fault,
  );
  const movingS = 2 * MIGRATION_INTERVAL_S * (faults.length + 3);
  await runMigrationScenario(
    { name: 'outages', movingS, everyS: MIGRATION_INTERVAL_S, faults },
    [1],
    () => {},
  );
});

test('all controllers crash in any phase of a migration', async () => {
  const faults = oneFaultPerMigration(
    PHASES.map((atMovePhase) => {
      return { kind: 'controller-crash', controllers: 'all', downS: 1, atMovePhase };
    }) as Fault[],
  );
  const movingS = MIGRATION_INTERVAL_S * (faults.length + 3);
  await runMigrationScenario(
    { name: 'all end', movingS, everyS: MIGRATION_INTERVAL_S, faults },
    [1],
    () => {},
  );
});

test('jobs are cancelled in each phase of a migration, and their tasks end in time', async () => {
  const faults = oneFaultPerMigration(
    PHASES.map((atMovePhase) => ({ kind: 'cancel-now', count: 3, atMovePhase })) as Fault[],
  );
  const movingS = MIGRATION_INTERVAL_S * (faults.length + 3);
  await runMigrationScenario(
    { name: 'cancellations', movingS, everyS: MIGRATION_INTERVAL_S, faults },
    [1, 2],
    (result) => {
      const cancelled = result.faults.of('cancel-now').flatMap(({ machines }) => machines);
      assert.ok(cancelled.length >= 4, `${cancelled.length} machines with cancelled work`);
    },
  );
});
