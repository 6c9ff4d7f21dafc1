/** What is lost by stopping tasks for others, and what is left alone for a while. */
import type { Assignment, JobState } from '../model/model.js';
import { START_WINDOW_S } from './start-window.js';

/** Processors that count as much as one accelerator when lost work is compared. */
const CPUS_PER_GPU = 8;

/**
 * A start that is undone at once served nobody. So what has just begun to run is left alone for a
 * while, except for the most urgent rank; this also bounds how often two jobs can displace each other.
 */
export function isPastStartWindow(
  { runningSince }: Assignment,
  forJob: JobState,
  now: number,
): boolean {
  return forJob.rank === 0 || runningSince === null || now - runningSince >= START_WINDOW_S;
}

/** With each member of a replica all others, since a replica is stopped as a whole. */
export function wholeReplicas(victims: Assignment[]): Assignment[] {
  if (victims.every(({ job }) => job.replicas === null)) return victims;
  return [...new Set(victims.flatMap((each) => each.job.replicas?.placesWith(each) ?? [each]))];
}

/** Accelerator seconds that are lost if the task is stopped; at least one, so that fewer stops win. */
export function lostWork({ job: { spec }, runningSince }: Assignment, now: number): number {
  const ranS = runningSince === null ? 0 : now - runningSince;
  const lostS = spec.checkpointS > 0 ? Math.min(ranS, spec.saveS) : ranS;
  return lostS * (spec.gpus + spec.cpus / CPUS_PER_GPU) + 1;
}
