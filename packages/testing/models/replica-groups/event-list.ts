import { type Draft, produce } from 'immer';
import type { ModelEvent } from '../exploration/explore.js';
import type { ReplicaMistake } from './mistakes.js';
import type { ReplicaModelState } from './state.js';

/** Collects the events that can happen in one state. */
export class EventList {
  readonly events: ModelEvent<ReplicaModelState>[] = [];

  constructor(
    readonly state: ReplicaModelState,
    readonly mistake: ReplicaMistake,
  ) {}

  add(name: string, trouble: boolean, recipe: (draft: Draft<ReplicaModelState>) => unknown): void {
    const next = produce(this.state, (draft) => void recipe(draft));
    this.events.push({ name, trouble, next });
  }
}
