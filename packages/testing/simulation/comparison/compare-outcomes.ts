/** Compares two outcomes of a run and describes the result. */
import type { PlannedRun, RunOutcome } from './run-outcome.js';

/** Whether both runs completed with the same digest and event count. */
export function haveSameEvents(here: RunOutcome, there: RunOutcome): boolean {
  if (here.kind === 'failed' || there.kind === 'failed') return false;
  return here.digest === there.digest && here.eventCount === there.eventCount;
}

/**
 * One line for the result, followed by a line for each problem of this build's run. The problems of the other run
 * follow if they differ.
 */
export function describeComparison(run: PlannedRun, here: RunOutcome, there: RunOutcome): string {
  const verdict = haveSameEvents(here, there)
    ? `same, ${describeOutcome(here)}`
    : `DIFFERS: here ${describeOutcome(here)}; there ${describeOutcome(there)}`;
  const lines = [`${nameOf(run)}: ${verdict}`, ...problemLines('here', here)];
  if (!haveSameProblems(here, there)) lines.push(...problemLines('there', there));
  return `${lines.join('\n')}\n`;
}

/** One line for the outcome of a run without a comparison, followed by a line for each problem. */
export function describeRun(run: PlannedRun, outcome: RunOutcome): string {
  const lines = [`${nameOf(run)}: ${describeOutcome(outcome)}`];
  return `${[...lines, ...problemLines('here', outcome)].join('\n')}\n`;
}

function nameOf({ scenario, seed }: PlannedRun): string {
  return `${scenario.name}, seed ${seed}`;
}

function describeOutcome(outcome: RunOutcome): string {
  if (outcome.kind === 'failed') return `failed (${outcome.reason})`;
  return `${outcome.eventCount} events, digest ${outcome.digest}`;
}

function problemLines(where: string, outcome: RunOutcome): string[] {
  if (outcome.kind === 'failed') return [];
  return outcome.problems.map((problem) => `  broken ${where}: ${problem}`);
}

function haveSameProblems(here: RunOutcome, there: RunOutcome): boolean {
  if (here.kind === 'failed' || there.kind === 'failed') return false;
  return here.problems.join('\n') === there.problems.join('\n');
}
