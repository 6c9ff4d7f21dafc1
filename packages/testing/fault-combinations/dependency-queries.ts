/** What tests of chained jobs ask a run. */
import { JOBS, MACHINES, type MachineRecord } from '#store';
import type { Job } from '#wire';
import type { ScenarioResult } from '../simulation/index.js';

/** How the pipelines of a run went. */
export interface DependentJobCounts {
  /** Jobs that awaited others and were done, as their users were told. */
  done: number;
  /** Jobs that were called aborted though only a job that they need was cancelled. */
  cancelledByDependency: number;
}

/** All jobs that were submitted and await others. */
export function dependentJobs({ timeline }: ScenarioResult): Job[] {
  const submitted = timeline.of('job-submitted').map(({ job }) => job);
  return submitted.filter(({ awaits }) => awaits.length > 0);
}

/** Counts what users were told in a span of time. */
export function countDependentJobs(
  result: ScenarioResult,
  fromS = 0,
  untilS = Infinity,
): DependentJobCounts {
  const { timeline } = result;
  const cancelRequested = new Set(timeline.of('cancel-asked').map(({ job }) => job));
  const dependent = new Set(dependentJobs(result).map(({ id }) => id));
  const answered = timeline.of('answered', fromS, untilS);
  const inPhase = (phase: string) => {
    const answers = answered.filter((answer) => answer.phase === phase);
    return new Set(answers.map(({ request }) => request.job).filter((id) => dependent.has(id)));
  };
  const cancelled = [...inPhase('aborted')].filter((id) => !cancelRequested.has(id));
  return { done: inPhase('done').size, cancelledByDependency: cancelled.length };
}

/** Cancellations of jobs that others need, confirmed in a span of time. */
export function cancelledDependencies(
  result: ScenarioResult,
  fromS: number,
  untilS: number,
): string[] {
  const { timeline } = result;
  const needed = new Set(dependentJobs(result).flatMap(({ awaits }) => [...awaits]));
  const confirmed = timeline
    .of('answered', fromS, untilS)
    .filter(({ request, phase }) => request.kind === 'abort' && phase === 'aborted');
  return [...new Set(confirmed.map(({ request }) => request.job))].filter((id) => needed.has(id));
}

/**
 * Jobs of which a machine's record named a task before, or together with, the end of a job that they await: the
 * owner had decided on a start by what only it knew.
 */
export function prematureStarts(result: ScenarioResult): string[] {
  const { done, assigned } = firstTransactions(result);
  const isPremature = ({ id, awaits }: Job) => {
    const assignedAt = assigned.get(id) ?? Infinity;
    return (
      assignedAt !== Infinity && awaits.some((each) => (done.get(each) ?? Infinity) >= assignedAt)
    );
  };
  return dependentJobs(result)
    .filter(isPremature)
    .map(({ id }) => id);
}

/** The transactions, by number, that recorded a job as done and that first named a task of it on a machine. */
function firstTransactions({
  timeline,
}: ScenarioResult): Record<'done' | 'assigned', Map<string, number>> {
  const done = new Map<string, number>();
  const assigned = new Map<string, number>();
  for (const [number, { changes, applied }] of timeline.of('transaction').entries()) {
    const puts = applied ? changes.filter((change) => 'put' in change) : [];
    for (const { put, value } of puts) {
      if (put.startsWith(MACHINES)) {
        for (const [job] of (value as MachineRecord).tasks) {
          if (!assigned.has(job)) assigned.set(job, number);
        }
      } else if (put.startsWith(JOBS) && (value as { phase: string }).phase === 'done') {
        done.set(put.slice(JOBS.length), number);
      }
    }
  }
  return { done, assigned };
}
