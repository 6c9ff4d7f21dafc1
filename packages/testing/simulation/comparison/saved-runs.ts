/**
 * Files of runs with their outcomes, one JSON object a line. They hold whole scenarios, so that a later build plays
 * just these, and an unchanged build need not be played again for each comparison.
 */
import assert from 'node:assert/strict';
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import type { PlannedRun, PlayedRun } from './run-outcome.js';

/** One line of a file. */
export interface SavedRun extends PlannedRun {
  outcome: PlayedRun;
}

/** A file that can't be read, or that holds no runs. */
export class BadRunsFile extends Error {}

/** Writes the file anew. */
export function saveRuns(file: string, runs: SavedRun[]): void {
  writeFileSync(file, runs.map(lineOf).join(''));
}

/** Adds a run to the file; several processes may do so at the same time. */
export function appendRun(file: string, run: SavedRun): void {
  appendFileSync(file, lineOf(run));
}

/** Throws BadRunsFile. */
export function loadRuns(file: string): SavedRun[] {
  const runs = parseRuns(file);
  if (runs.length === 0) throw new BadRunsFile(`${file}: holds no runs`);
  return runs;
}

function parseRuns(file: string): SavedRun[] {
  try {
    const lines = readFileSync(file, 'utf8').split('\n');
    return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as SavedRun);
  } catch (error) {
    throw new BadRunsFile(`${file}: ${String(error)}`);
  }
}

/** Throws if the run would not be read as it was written. */
function lineOf(run: SavedRun): string {
  const text = JSON.stringify(run);
  assert.deepEqual(JSON.parse(text), run);
  return `${text}\n`;
}
