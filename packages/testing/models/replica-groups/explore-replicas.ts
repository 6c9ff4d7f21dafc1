/** Explores the model of replica groups. */
import { type Exploration, explore } from '../exploration/explore.js';
import { breachIn, isAtRest } from './checks.js';
import { eventsIn } from './events.js';
import type { ReplicaMistake } from './mistakes.js';
import { firstState, keyOf, type ReplicaBudget } from './state.js';

/** Visits every state that one replica can reach; the first breach ends it. */
export function exploreReplicas(budget: ReplicaBudget, mistake: ReplicaMistake): Exploration {
  return explore({
    start: firstState(budget),
    keyOf,
    eventsIn: (state) => eventsIn(state, mistake),
    breachIn,
    isAtRest,
  });
}
