/** Outcomes by which runs of the simulated cluster are compared. */
import { inspect } from 'node:util';
import type { ScenarioResult } from '../run-scenario.js';
import type { Scenario } from '../scenario.js';

/** A scenario to run, with its seed. */
export interface PlannedRun {
  scenario: Scenario;
  seed: number;
}

/** Outcome of a run that completed. */
export interface PlayedRun {
  kind: 'played';
  /** Hash of the times and order of all events and of the sizes of packets. */
  digest: string;
  eventCount: number;
  /** Broken rules and uncaught errors, one line each. */
  problems: string[];
}

/** Outcome of a run that threw, or whose process exited before the run completed. */
export interface FailedRun {
  kind: 'failed';
  reason: string;
}

/** Outcome of a run, completed or failed. */
export type RunOutcome = PlayedRun | FailedRun;

/** Derives the outcome from the result of a run, which another build may have executed. */
export function outcomeOf(result: ScenarioResult): PlayedRun {
  const problems = [...result.violations, ...result.uncaught];
  return {
    kind: 'played',
    digest: result.digest,
    eventCount: result.eventCount,
    problems: problems.map((problem) => inspect(problem, { breakLength: Infinity })),
  };
}
