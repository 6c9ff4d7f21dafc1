/** Explores the model of shard migration. */
import { explore } from '../exploration/explore.js';
import { canonicalKey } from './canonical.js';
import { transitionsFrom, staleLeaders, isQuiescent } from './transitions.js';
import type { MigrationMistake } from './mistakes.js';
import { initialState, type MigrationBudget } from './state.js';

/** What an exploration of shard migrations has found. */
export interface MigrationExploration {
  /** Different states that were reached. */
  states: number;
  /** Those in which the shard has moved. */
  moved: number;
  /** The shortest ways to a state with two leaders, and to one that nothing but a fault leads out of; null if none. */
  twoLeaders: string[] | null;
  stuck: string[] | null;
}

/** Visits every state that can be reached; the first in which there are two leaders ends it. */
export function exploreMigrations(
  budget: MigrationBudget,
  seededFault: MigrationMistake,
): MigrationExploration {
  let moved = 0;
  const { states, breach, stuck } = explore(
    {
      initialState: initialState(budget),
      canonicalKey,
      transitionsFrom: (state) => transitionsFrom(state, seededFault),
      findViolation: (state) => (staleLeaders(state, seededFault).length > 0 ? 'two owners' : null),
      isQuiescent: (state) => isQuiescent(state, seededFault),
    },
    ({ shard }) => {
      if (shard?.leader === 'b') moved++;
    },
  );
  return { states, moved, twoLeaders: breach?.trace ?? null, stuck };
}
