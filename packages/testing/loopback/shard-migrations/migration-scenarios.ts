/** Scenarios in which the shard migrates repeatedly while jobs run, and checks that all of them must pass. */
import assert from 'node:assert/strict';
import { killedTasks, runScenarioWithSeeds } from '../../fault-combinations/run-queries.js';
import { BUSY_FROM_S, steadyScenario } from '../../fault-combinations/steady-work.js';
import type { Fault, Scenario, ScenarioResult } from '../../simulation/index.js';

/** Time between two requests, in which a migration ends and the system recovers from a fault during it. */
export const MIGRATION_INTERVAL_S = 20;

export interface MigrationScenarioOptions {
  name: string;
  /** Length of the time in which migrations are requested. */
  movingS: number;
  everyS: number;
  faults: Fault[];
}

/** Steady work on a cluster whose shard is migrated from one controller to the next. */
function migrationScenario({ name, movingS, everyS, faults }: MigrationScenarioOptions): Scenario {
  const moves: Fault = { kind: 'part-moves', atS: BUSY_FROM_S, forS: movingS, everyS };
  const scenario = steadyScenario(name, BUSY_FROM_S + movingS + 60, [moves, ...faults]);
  return { ...scenario, cluster: { ...scenario.cluster, operator: { moves: {} } } };
}

/**
 * Runs a scenario; no rule may be violated, no work may be lost, each fault must occur, and the shard must migrate
 * again after the last fault.
 */
export async function runMigrationScenario(
  options: MigrationScenarioOptions,
  seeds: number[],
  check: (result: ScenarioResult) => void,
): Promise<void> {
  await runScenarioWithSeeds(migrationScenario(options), seeds, (result) => {
    const untilS = BUSY_FROM_S + options.movingS + 60;
    assert.deepEqual(killedTasks(result, BUSY_FROM_S, untilS), [], 'no work was lost');
    for (const fault of options.faults) {
      assert.ok(
        result.faults.records.some((record) => record.fault === fault),
        `${fault.kind} at ${fault.atMovePhase} did not occur`,
      );
    }
    const lastFaultS = Math.max(0, ...result.faults.records.map(({ fromS }) => fromS));
    assert.ok(
      result.leaders.some(({ atS }) => atS > lastFaultS),
      'the shard migrates again after the last fault',
    );
    check(result);
  });
}

/** Spaces faults in time so that each occurs in a migration of its own, at the phase that the fault names. */
export function oneFaultPerMigration(faults: Omit<Fault, 'atS'>[]): Fault[] {
  return faults.map((fault, index) => {
    return { ...fault, atS: BUSY_FROM_S + 1 + index * MIGRATION_INTERVAL_S } as Fault;
  });
}
