/** Explicit-state model checker: visits every reachable state of a model, breadth first. */

/** A transition out of a state. */
export interface Transition<State> {
  name: string;
  /** Faults may never happen; all other transitions happen eventually. */
  isFault: boolean;
  next: State;
}

/** A model: its initial state, its transition relation and its invariants. */
export interface Model<State> {
  initialState: State;
  /** Equal for equivalent states, which count as one state. */
  canonicalKey(state: State): string;
  transitionsFrom(state: State): Transition<State>[];
  /** Name of an invariant that the state violates; null if all hold. */
  findViolation(state: State): string | null;
  /** Whether the state is an accepted end: no further transition is required. */
  isQuiescent(state: State): boolean;
}

/** Result of an exploration. */
export interface Exploration {
  /** Number of distinct states reached. */
  states: number;
  /** The violated invariant and a shortest trace to the violation; null if all states satisfy the invariants. */
  violation: { invariant: string; trace: string[] } | null;
  /**
   * A shortest trace to a state from which no quiescent state is reachable without a fault; null if there is no such
   * state.
   */
  stuck: string[] | null;
}

/** The transition by which a state was first reached. */
interface Origin {
  from: string | null;
  event: string;
}

/** Explores the model until an invariant is violated or all states are visited. Calls `onState` for each visit. */
export function explore<State>(
  model: Model<State>,
  onState: (state: State) => void = () => undefined,
): Exploration {
  const first = { key: model.canonicalKey(model.initialState), state: model.initialState };
  const origins = new Map<string, Origin>([[first.key, { from: null, event: 'start' }]]);
  const predecessors = new Map<string, string[]>();
  const quiescent: string[] = [];
  let frontier = [first];
  while (frontier.length > 0) {
    const nextFrontier: typeof frontier = [];
    for (const { key, state } of frontier) {
      onState(state);
      if (model.isQuiescent(state)) quiescent.push(key);
      const invariant = model.findViolation(state);
      if (invariant !== null) {
        return {
          states: origins.size,
          violation: { invariant, trace: traceTo(origins, key) },
          stuck: null,
        };
      }
      for (const { name, isFault, next } of model.transitionsFrom(state)) {
        const nextKey = model.canonicalKey(next);
        if (!isFault) append(predecessors, nextKey, key);
        if (origins.has(nextKey)) continue;
        origins.set(nextKey, { from: key, event: name });
        nextFrontier.push({ key: nextKey, state: next });
      }
    }
    frontier = nextFrontier;
  }
  return {
    states: origins.size,
    violation: null,
    stuck: findStuck(origins, predecessors, quiescent),
  };
}

/** Returns a shortest trace to a state from which no quiescent state is reachable without another fault. */
function findStuck(
  origins: Map<string, Origin>,
  predecessors: Map<string, string[]>,
  quiescent: string[],
): string[] | null {
  const canFinish = new Set(quiescent);
  const unvisited = [...quiescent];
  for (let key = unvisited.pop(); key !== undefined; key = unvisited.pop()) {
    for (const predecessor of predecessors.get(key) ?? []) {
      if (canFinish.has(predecessor)) continue;
      canFinish.add(predecessor);
      unvisited.push(predecessor);
    }
  }
  for (const key of origins.keys()) {
    if (!canFinish.has(key)) return traceTo(origins, key);
  }
  return null;
}

function traceTo(origins: Map<string, Origin>, key: string): string[] {
  const events: string[] = [];
  for (
    let current: string | null = key;
    current !== null;
    current = originOf(origins, current).from
  ) {
    events.unshift(originOf(origins, current).event);
  }
  return events;
}

function originOf(origins: Map<string, Origin>, key: string): Origin {
  const origin = origins.get(key);
  if (!origin) throw new Error(`state ${key} was never reached`);
  return origin;
}

function append(lists: Map<string, string[]>, key: string, value: string): void {
  const list = lists.get(key);
  if (list) list.push(value);
  else lists.set(key, [value]);
}
