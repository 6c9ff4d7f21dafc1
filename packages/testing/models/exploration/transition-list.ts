/** The events of one state of a model, each made by a recipe that changes a draft of the state. */
import { type Draft, produce, setAutoFreeze } from 'immer';
import type { Transition } from './explore.js';

// Freezing each of some hundred thousand states would take longer than making it.
setAutoFreeze(false);

/** Collects the events that can happen in one state, under a seeded fault. */
export class TransitionList<State extends object, SeededFault> {
  readonly transitions: Transition<State>[] = [];

  constructor(
    readonly state: State,
    readonly seededFault: SeededFault,
  ) {}

  /** Adds an event; a fault need not happen, all else happens eventually. */
  add(name: string, isFault: boolean, recipe: (draft: Draft<State>) => unknown): void {
    const next = produce(this.state, (draft: Draft<State>) => void recipe(draft));
    this.transitions.push({ name, isFault, next });
  }
}
