/** Visits every state of a model that can be reached, whatever the order of events. */

/** One thing that can happen, and what comes of it. */
export interface Transition<State> {
  name: string;
  /** A fault, which need not happen; all else happens eventually. */
  isFault: boolean;
  next: State;
}

/** A model to be explored: its first state and what can happen in each. */
export interface Model<State> {
  initialState: State;
  /** Equal for states that differ in nothing that matters. */
  canonicalKey(state: State): string;
  transitionsFrom(state: State): Transition<State>[];
  /** What must never be; null if all is well. */
  findViolation(state: State): string | null;
  /** Nothing more needs to happen. */
  isQuiescent(state: State): boolean;
}

/** What an exploration has found. */
export interface Exploration {
  /** Different states that were reached. */
  states: number;
  /** The shortest way to a state with a breach; null if there is none. */
  breach: { what: string; trace: string[] } | null;
  /** The shortest way to a state that only a fault leads out of to rest; null if there is none. */
  stuck: string[] | null;
}

/** How a state was reached first. */
interface Origin {
  from: string | null;
  event: string;
}

/** Explores the model; the first state with a breach ends it. `onState` is told of each state. */
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
      const what = model.findViolation(state);
      if (what !== null) {
        return {
          states: origins.size,
          breach: { what, trace: traceTo(origins, key) },
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
  return { states: origins.size, breach: null, stuck: findStuck(origins, predecessors, quiescent) };
}

/** The first state from which no state at rest is reached without another fault. */
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
