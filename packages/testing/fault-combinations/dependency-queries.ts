/** Queries of a finished run for tests of jobs that depend on other jobs. */
import { JOBS_PREFIX, MACHINES_PREFIX, type MachineRecord } from '#store';
import type { Job } from '#wire';
import type { ScenarioResult } from '../simulation/index.js';

/** Outcomes of the dependent jobs of a run, as their users were told. */
export interface DependentJobCounts {
  /** Dependent jobs that were done. */
  done: number;
  /** Dependent jobs that were aborted without a cancellation of their own: a job that they need was cancelled. */
  cancelledByDependency: number;
}

/** All submitted jobs that depend on other jobs. */
export function dependentJobs({ timeline }: ScenarioResult): Job[] {
  const submitted = timeline.of('job-submitted').map(({ job }) => job);
  return submitted.filter(({ awaits }) => awaits.length > 0);
}

/** Counts outcomes of dependent jobs that users were told of in a span of time. */
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

/** Jobs that other jobs depend on and whose cancellation was confirmed in a span of time. */
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
 * Jobs that were started too early: the transaction that assigned their first task to a machine was applied before,
 * or together with, the record that a dependency is done. The leader had then relied on an end that only it knew.
 */
export function prematureStarts(result: ScenarioResult): string[] {
  const { done, assigned } = firstTransactions(result);
  const isPremature = ({ id, awaits }: Job) => {
    const startNo = assigned.get(id) ?? Infinity;
    return startNo !== Infinity && awaits.some((each) => (done.get(each) ?? Infinity) >= startNo);
  };
  return dependentJobs(result)
    .filter(isPremature)
    .map(({ id }) => id);
}

/**
 * Numbers, in order of execution, of the transactions that recorded a job as done and that first assigned a task of
 * it to a machine; both by job id.
 */
function firstTransactions({
  timeline,
}: ScenarioResult): Record<'done' | 'assigned', Map<string, number>> {
  const done = new Map<string, number>();
  const assigned = new Map<string, number>();
  for (const [number, { changes, applied }] of timeline.of('transaction').entries()) {
    const puts = applied ? changes.filter((change) => 'put' in change) : [];
    for (const { put, value } of puts) {
      if (put.startsWith(MACHINES_PREFIX)) {
        for (const [job] of (value as MachineRecord).tasks) {
          if (!assigned.has(job)) assigned.set(job, number);
        }
      } else if (put.startsWith(JOBS_PREFIX) && (value as { phase: string }).phase === 'done') {
        done.set(put.slice(JOBS_PREFIX.length), number);
      }
    }
  }
  return { done, assigned };
}
