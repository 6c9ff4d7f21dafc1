import { canonicalKey } from './canonical.js';
import { eventsIn, falseOwners, isAtRest } from './events.js';
import type { MoveMistake } from './mistakes.js';
import { type MoveBudget, firstState, type ModelState } from './state.js';

export interface Exploration {
  /** Different states that were reached. */
  states: number;
  /** Those in which the part has moved. */
  moved: number;
  /** The shortest ways to a state with two owners, and to one that nothing but a trouble leads out of; null if none. */
  twoOwners: string[] | null;
  stuck: string[] | null;
}

/** How a state was reached first. */
interface Origin {
  from: string | null;
  event: string;
}

/** Visits every state that can be reached; the first in which there are two owners ends it. */
export function exploreMoves(budget: MoveBudget, mistake: MoveMistake): Exploration {
  const start = firstState(budget);
  const first = { key: canonicalKey(start), state: start };
  const origins = new Map<string, Origin>([[first.key, { from: null, event: 'start' }]]);
  const predecessors = new Map<string, string[]>();
  const resting: string[] = [];
  let moved = 0;
  let level: { key: string; state: ModelState }[] = [first];
  while (level.length > 0) {
    const nextLevel: typeof level = [];
    for (const { key, state } of level) {
      if (state.part?.owner === 'b') moved++;
      if (isAtRest(state, mistake)) resting.push(key);
      if (falseOwners(state, mistake).length > 0) {
        return { states: origins.size, moved, twoOwners: way(origins, key), stuck: null };
      }
      for (const { name, trouble, next } of eventsIn(state, mistake)) {
        const reached = canonicalKey(next);
        if (!trouble) append(predecessors, reached, key);
        if (origins.has(reached)) continue;
        origins.set(reached, { from: key, event: name });
        nextLevel.push({ key: reached, state: next });
      }
    }
    level = nextLevel;
  }
  const stuck = findStuck(origins, predecessors, resting);
  return { states: origins.size, moved, twoOwners: null, stuck };
}

/** The first state from which no state at rest is reached without another trouble. */
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
    if (!goesOn.has(key)) return way(origins, key);
  }
  return null;
}

function way(origins: Map<string, Origin>, key: string): string[] {
  const events: string[] = [];
  for (let at: string | null = key; at !== null; at = origins.get(at)!.from) {
    events.unshift(origins.get(at)!.event);
  }
  return events;
}

function append(lists: Map<string, string[]>, key: string, value: string): void {
  const list = lists.get(key);
  if (list) list.push(value);
  else lists.set(key, [value]);
}
