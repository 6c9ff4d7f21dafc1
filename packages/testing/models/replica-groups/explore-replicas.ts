/** Explores the model of replica groups. */
import { type Exploration, explore } from '../exploration/explore.js';
import { findViolation, isQuiescent } from './checks.js';
import { transitionsFrom } from './transitions.js';
import type { ReplicaMistake } from './mistakes.js';
import { initialState, canonicalKey, type ReplicaBudget } from './state.js';

/** Visits every state that one replica can reach; the first breach ends it. */
export function exploreReplicas(budget: ReplicaBudget, seededFault: ReplicaMistake): Exploration {
  return explore({
    initialState: initialState(budget),
    canonicalKey,
    transitionsFrom: (state) => transitionsFrom(state, seededFault),
    findViolation,
    isQuiescent,
  });
}
