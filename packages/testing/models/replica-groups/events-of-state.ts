/** The list of events that the modules of this model add to. */
import type { EventList } from '../exploration/event-list.js';
import type { ReplicaMistake } from './mistakes.js';
import type { ReplicaModelState } from './state.js';

export type ReplicaEventList = EventList<ReplicaModelState, ReplicaMistake>;
