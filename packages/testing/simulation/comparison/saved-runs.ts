/**
 * Files of runs with their outcomes, one JSON object a line. They hold whole scenarios, so that a later build plays
 * just these, and an unchanged build need not be played again for each comparison.
 */
import assert from 'node:assert/strict';
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import type { PlannedRun, PlayedRun } from './run-outcome.js';

/** One line of a file. */
export interface RecordedRun extends PlannedRun {
  outcome: PlayedRun;
}

/** A file that can't be read, or that holds no runs. */
export class BadRunsFile extends Error {}

/** Writes the file; former contents are lost. */
export function saveRuns(file: string, runs: RecordedRun[]): void {
  writeFileSync(file, runs.map(lineOf).join(''));
}

/** Adds a run to the file; several processes may do so at the same time. */
export function appendRun(file: string, run: RecordedRun): void {
  appendFileSync(file, lineOf(run));
}

/** Throws BadRunsFile. */
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

/** Throws if the run would not be read as it was written. */
function lineOf(run: RecordedRun): string {
  const text = JSON.stringify(run);
  assert.deepEqual(JSON.parse(text), run);
  return `${text}\n`;
}
