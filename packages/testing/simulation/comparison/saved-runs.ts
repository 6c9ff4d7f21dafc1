/**
 * Files of runs with their outcomes, one JSON object per line. The files contain complete scenarios, so that a later
 * build repeats exactly these, and an unchanged build need not repeat its runs for each comparison.
 */
import assert from 'node:assert/strict';
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import type { PlannedRun, PlayedRun } from './run-outcome.js';

/** One line of a file: a run and its outcome. */
export interface RecordedRun extends PlannedRun {
  outcome: PlayedRun;
}

/** Error for a file that can't be read or that contains no runs. */
export class BadRunsFile extends Error {}

/** Writes the runs to the file, replacing its contents. */
export function saveRuns(file: string, runs: RecordedRun[]): void {
  writeFileSync(file, runs.map(lineOf).join(''));
}

/** Appends a run to the file; several processes may append at the same time. */
export function appendRun(file: string, run: RecordedRun): void {
  appendFileSync(file, lineOf(run));
}

/** Loads all runs of the file; throws BadRunsFile if the file can't be read or contains no runs. */
export function loadRuns(file: string): RecordedRun[] {
  const runs = parseRuns(file);
  if (runs.length === 0) throw new BadRunsFile(`${file}: holds no runs`);
  return runs;
}

function parseRuns(file: string): RecordedRun[] {
  try {
    const lines = readFileSync(file, 'utf8').split('\n');
    return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as RecordedRun);
  } catch (error) {
    throw new BadRunsFile(`${file}: ${String(error)}`);
  }
}

/** Serializes a run as a line; throws if parsing the line would not give an equal run. */
function lineOf(run: RecordedRun): string {
  const text = JSON.stringify(run);
  assert.deepEqual(JSON.parse(text), run);
  return `${text}\n`;
}
