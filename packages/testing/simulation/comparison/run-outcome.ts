/** What runs of the simulated cluster are compared by. */
import { inspect } from 'node:util';
import type { ScenarioResult } from '../run-scenario.js';
import type { Scenario } from '../scenario.js';

/** One scenario that is played with one seed. */
export interface PlannedRun {
  scenario: Scenario;
  seed: number;
}

/** A run that came to its end. */
export interface PlayedRun {
  kind: 'played';
  /** Hashes the times and the order of all events, and the sizes of packets. */
  digest: string;
  eventCount: number;
  /** Broken rules and uncaught errors, one line each. */
  problems: string[];
}

/** A run that threw, or whose process ended before the run did. */
export interface FailedRun {
  kind: 'failed';
  reason: string;
}

/** What became of a run. */
export type RunOutcome = PlayedRun | FailedRun;

/** The outcome of a run, which another build may have played. */
export function outcomeOf(result: ScenarioResult): PlayedRun {
  const problems = [...result.violations, ...result.uncaught];
  return {
    kind: 'played',
    digest: result.digest,
    eventCount: result.eventCount,
    problems: problems.map((problem) => inspect(problem, { breakLength: Infinity })),
  };
}
