/** Visits every state of a model that can be reached, whatever the order of events. */

/** One thing that can happen, and what comes of it. */
export interface ModelEvent<State> {
  name: string;
  /** A fault, which need not happen; all else happens eventually. */
  isFault: boolean;
  next: State;
}

/** A model to be explored: its first state and what can happen in each. */
export interface Model<State> {
  start: State;
  /** Equal for states that differ in nothing that matters. */
  keyOf(state: State): string;
  eventsIn(state: State): ModelEvent<State>[];
  /** What must never be; null if all is well. */
  breachIn(state: State): string | null;
  /** Nothing more needs to happen. */
  isAtRest(state: State): boolean;
}

/** What an exploration has found. */
export interface Exploration {
  /** Different states that were reached. */
  states: number;
  /** The shortest way to a state with a breach; null if there is none. */
  breach: { what: string; way: string[] } | null;
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
  const first = { key: model.keyOf(model.start), state: model.start };
  const origins = new Map<string, Origin>([[first.key, { from: null, event: 'start' }]]);
  const predecessors = new Map<string, string[]>();
  const resting: string[] = [];
  let level = [first];
  while (level.length > 0) {
    const nextLevel: typeof level = [];
    for (const { key, state } of level) {
      onState(state);
      if (model.isAtRest(state)) resting.push(key);
      const what = model.breachIn(state);
      if (what !== null) {
        return { states: origins.size, breach: { what, way: wayTo(origins, key) }, stuck: null };
      }
      for (const { name, isFault, next } of model.eventsIn(state)) {
        const reached = model.keyOf(next);
        if (!isFault) append(predecessors, reached, key);
        if (origins.has(reached)) continue;
        origins.set(reached, { from: key, event: name });
        nextLevel.push({ key: reached, state: next });
      }
    }
    level = nextLevel;
  }
  return { states: origins.size, breach: null, stuck: findStuck(origins, predecessors, resting) };
}

/** The first state from which no state at rest is reached without another fault. */
function findStuck(
  origins: Map<string, Origin>,
  predecessors: Map<string, string[]>,
  resting: string[],
): string[] | null {
  const goesOn = new Set(resting);
  const open = [...resting];
  for (let key = open.pop(); key !== undefined; key = open.pop()) {
    for (const before of predecessors.get(key) ?? []) {
      if (goesOn.has(before)) continue;
      goesOn.add(before);
      open.push(before);
    }
  }
  for (const key of origins.keys()) {
    if (!goesOn.has(key)) return wayTo(origins, key);
  }
  return null;
}

function wayTo(origins: Map<string, Origin>, key: string): string[] {
  const events: string[] = [];
  for (let at: string | null = key; at !== null; at = originOf(origins, at).from) {
    events.unshift(originOf(origins, at).event);
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
