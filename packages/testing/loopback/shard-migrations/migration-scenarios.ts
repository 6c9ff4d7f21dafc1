/** Scenarios in which the part moves again and again while work runs, and what tests ask of them. */
import assert from 'node:assert/strict';
import { killedTasks, playMeeting } from '../../fault-combinations/run-queries.js';
import { BUSY_FROM_S, steadyScenario } from '../../fault-combinations/steady-work.js';
import type { Fault, Scenario, ScenarioResult } from '../../simulation/index.js';

/** Time between two requests in which a move and what a fault has done to it are over. */
export const MIGRATION_INTERVAL_S = 20;

export interface MigrationScenarioOptions {
  name: string;
  /** Moves are asked for during that time. */
  movingS: number;
  everyS: number;
  faults: Fault[];
}

/** Steady work on a cluster whose part is moved from one controller to the next. */
function migrationScenario({ name, movingS, everyS, faults }: MigrationScenarioOptions): Scenario {
  const moves: Fault = { kind: 'part-moves', atS: BUSY_FROM_S, forS: movingS, everyS };
  const scenario = steadyScenario(name, BUSY_FROM_S + movingS + 60, [moves, ...faults]);
  return { ...scenario, cluster: { ...scenario.cluster, operator: { moves: {} } } };
}

/** Plays it; no rule may break, no work may be lost, and the part moves on after all faults. */
export async function runMigrationScenario(
  options: MigrationScenarioOptions,
  seeds: number[],
  check: (result: ScenarioResult) => void,
): Promise<void> {
  await playMeeting(migrationScenario(options), seeds, (result) => {
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
      'the part moves again after the last fault',
    );
    check(result);
  });
}

/** One fault after another, each at the given phase of a move of its own. */
export function oneFaultPerMigration(faults: Omit<Fault, 'atS'>[]): Fault[] {
  return faults.map((fault, index) => {
    return { ...fault, atS: BUSY_FROM_S + 1 + index * MIGRATION_INTERVAL_S } as Fault;
  });
}
