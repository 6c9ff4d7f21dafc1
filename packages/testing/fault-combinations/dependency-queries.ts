/** What tests of chained jobs ask a run. */
import { JOBS_PREFIX, MACHINES_PREFIX, type MachineRecord } from '#store';
import type { Job } from '#wire';
import type { ScenarioResult } from '../simulation/index.js';

/** How the pipelines of a run went. */
export interface ChainCounts {
  /** Jobs that awaited others and were done, as their users were told. */
  done: number;
  /** Jobs that were called aborted though only a job that they need was cancelled. */
  cancelledWithOthers: number;
}

/** All jobs that were submitted and await others. */
export function chainedJobs({ timeline }: ScenarioResult): Job[] {
  const submitted = timeline.of('job-submitted').map(({ job }) => job);
  return submitted.filter(({ awaits }) => awaits.length > 0);
}

/** Counts what users were told in a span of time. */
export function countChains(result: ScenarioResult, fromS = 0, untilS = Infinity): ChainCounts {
  const { timeline } = result;
  const asked = new Set(timeline.of('cancel-asked').map(({ job }) => job));
  const chained = new Set(chainedJobs(result).map(({ id }) => id));
  const told = timeline.of('answered', fromS, untilS);
  const inPhase = (phase: string) => {
    const answers = told.filter((answer) => answer.phase === phase);
    return new Set(answers.map(({ request }) => request.job).filter((id) => chained.has(id)));
  };
  const cancelled = [...inPhase('aborted')].filter((id) => !asked.has(id));
  return { done: inPhase('done').size, cancelledWithOthers: cancelled.length };
}

/** Cancellations of jobs that others need, confirmed in a span of time. */
export function cancelledWithDependents(
  result: ScenarioResult,
  fromS: number,
  untilS: number,
): string[] {
  const { timeline } = result;
  const needed = new Set(chainedJobs(result).flatMap(({ awaits }) => [...awaits]));
  const confirmed = timeline
    .of('answered', fromS, untilS)
    .filter(({ request, phase }) => request.kind === 'abort' && phase === 'aborted');
  return [...new Set(confirmed.map(({ request }) => request.job))].filter((id) => needed.has(id));
}

/**
 * Jobs of which a machine's record named a task before, or together with, the end of a job that they await: the
 * owner had decided on a start by what only it knew.
 */
export function startsBeforeRecords(result: ScenarioResult): string[] {
  const { done, named } = recordOrder(result);
  const isTooEarly = ({ id, awaits }: Job) => {
    const namedAt = named.get(id) ?? Infinity;
    return namedAt !== Infinity && awaits.some((each) => (done.get(each) ?? Infinity) >= namedAt);
  };
  return chainedJobs(result)
    .filter(isTooEarly)
    .map(({ id }) => id);
}

/** The transactions, by number, that recorded a job as done and that first named a task of it on a machine. */
function recordOrder({ timeline }: ScenarioResult): Record<'done' | 'named', Map<string, number>> {
  const done = new Map<string, number>();
  const named = new Map<string, number>();
  for (const [number, { changes, applied }] of timeline.of('transaction').entries()) {
    const puts = applied ? changes.filter((change) => 'put' in change) : [];
    for (const { put, value } of puts) {
      if (put.startsWith(MACHINES_PREFIX)) {
        for (const [job] of (value as MachineRecord).tasks) {
          if (!named.has(job)) named.set(job, number);
        }
      } else if (put.startsWith(JOBS_PREFIX) && (value as { phase: string }).phase === 'done') {
        done.set(put.slice(JOBS_PREFIX.length), number);
      }
    }
  }
  return { done, named };
}
