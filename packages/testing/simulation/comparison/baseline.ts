/** A file of outcomes, so that an unchanged build need not be played again for each comparison. */
import { readFileSync, writeFileSync } from 'node:fs';
import { BadArguments } from './options.js';
import type { PlannedRun, PlayedRun, RunOutcome } from './run-outcome.js';

/** One run of the file. */
export interface BaselineRun extends Omit<PlayedRun, 'kind'> {
  scenario: string;
  seed: number;
}

export function saveBaseline(file: string, runs: BaselineRun[]): void {
  writeFileSync(file, `${JSON.stringify({ runs }, null, 2)}\n`);
}

/** Throws BadArguments if the file can't be read. */
export function loadBaseline(file: string): BaselineRun[] {
  try {
    const { runs } = JSON.parse(readFileSync(file, 'utf8')) as { runs: BaselineRun[] };
    if (Array.isArray(runs)) return runs;
  } catch (error) {
    throw new BadArguments(`--against ${file}: ${String(error)}`);
  }
  throw new BadArguments(`--against ${file}: holds no runs`);
}

/** What the file says of that run. */
export function findOutcome(runs: BaselineRun[], { scenario, seed }: PlannedRun): RunOutcome {
  const found = runs.find((run) => run.scenario === scenario.name && run.seed === seed);
  if (!found) return { kind: 'failed', reason: 'not in the saved file' };
  const { digest, eventCount, problems } = found;
  return { kind: 'played', digest, eventCount, problems };
}
