/** Explores the shard migration model. */
import { explore } from '../exploration/explore.js';
import { canonicalKey } from './canonical.js';
import { transitionsFrom, staleLeaders, isQuiescent } from './transitions.js';
import type { SeededMigrationFault } from './seeded-faults.js';
import { initialState, type MigrationBudget } from './state.js';

/** Result of an exploration of shard migrations. */
export interface MigrationExploration {
  /** Number of distinct states reached. */
  states: number;
  /** Number of these states in which the shard has moved. */
  moved: number;
  /** A shortest trace to a state in which a controller acts as leader without being it; null if there is none. */
  twoLeaders: string[] | null;
  /** A shortest trace to a state from which no quiescent state is reachable without a fault; null if there is none. */
  stuck: string[] | null;
}

/** Visits every reachable state, until one has two leaders. */
export function exploreMigrations(
  budget: MigrationBudget,
  seededFault: SeededMigrationFault,
): MigrationExploration {
  let moved = 0;
  const { states, violation, stuck } = explore(
    {
      initialState: initialState(budget),
      canonicalKey,
      transitionsFrom: (state) => transitionsFrom(state, seededFault),
      findViolation: (state) =>
        staleLeaders(state, seededFault).length > 0 ? 'two leaders' : null,
      isQuiescent: (state) => isQuiescent(state, seededFault),
    },
    ({ shard }) => {
      if (shard?.leader === 'b') moved++;
    },
  );
  return { states, moved, twoLeaders: violation?.trace ?? null, stuck };
}
