/** Explores the replica group model. */
import { type Exploration, explore } from '../exploration/explore.js';
import { findViolation, isQuiescent } from './checks.js';
import { transitionsFrom } from './transitions.js';
import type { SeededReplicaFault } from './seeded-faults.js';
import { initialState, canonicalKey, type ReplicaBudget } from './state.js';

/** Visits every reachable state of one replica, until an invariant is violated. */
export function exploreReplicas(
  budget: ReplicaBudget,
  seededFault: SeededReplicaFault,
): Exploration {
  return explore({
    initialState: initialState(budget),
    canonicalKey,
    transitionsFrom: (state) => transitionsFrom(state, seededFault),
    findViolation,
    isQuiescent,
  });
}
