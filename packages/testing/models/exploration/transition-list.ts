/** Builds the transitions of a state: each one is a recipe that changes a draft of the state. */
import { type Draft, produce, setAutoFreeze } from 'immer';
import type { Transition } from './explore.js';

// Freezing would take longer than computing a state, and a model has some hundred thousand states.
setAutoFreeze(false);

/** Collects the transitions that a state enables under a seeded fault. */
export class TransitionList<State extends object, SeededFault> {
  readonly transitions: Transition<State>[] = [];

  constructor(
    readonly state: State,
    readonly seededFault: SeededFault,
  ) {}

  /** Adds a transition. The liveness check assumes that all transitions but faults happen eventually. */
  add(name: string, isFault: boolean, recipe: (draft: Draft<State>) => unknown): void {
    const next = produce(this.state, (draft: Draft<State>) => void recipe(draft));
    this.transitions.push({ name, isFault, next });
  }
}
