/** The transition list that the modules of the replica group model add to. */
import type { TransitionList } from '../exploration/transition-list.js';
import type { SeededReplicaFault } from './seeded-faults.js';
import type { ReplicaModelState } from './state.js';

/** The transitions out of one state of the replica group model. */
export type ReplicaTransitionList = TransitionList<ReplicaModelState, SeededReplicaFault>;
