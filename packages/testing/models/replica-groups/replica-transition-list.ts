/** The list of events that the modules of this model add to. */
import type { TransitionList } from '../exploration/transition-list.js';
import type { ReplicaMistake } from './mistakes.js';
import type { ReplicaModelState } from './state.js';

/** The events of one state of the model of replica groups. */
export type ReplicaTransitionList = TransitionList<ReplicaModelState, ReplicaMistake>;
