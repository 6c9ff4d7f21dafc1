/** Explores the model of shard migration. */
import { explore } from '../exploration/explore.js';
import { canonicalKey } from './canonical.js';
import { eventsIn, falseLeaders, isAtRest } from './events.js';
import type { MigrationMistake } from './mistakes.js';
import { firstState, type MigrationBudget } from './state.js';

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
  mistake: MigrationMistake,
): MigrationExploration {
  let moved = 0;
  const { states, breach, stuck } = explore(
    {
      start: firstState(budget),
      keyOf: canonicalKey,
      eventsIn: (state) => eventsIn(state, mistake),
      breachIn: (state) => (falseLeaders(state, mistake).length > 0 ? 'two owners' : null),
      isAtRest: (state) => isAtRest(state, mistake),
    },
    ({ shard }) => {
      if (shard?.leader === 'b') moved++;
    },
  );
  return { states, moved, twoLeaders: breach?.way ?? null, stuck };
}
