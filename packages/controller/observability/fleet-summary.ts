/** Summarises the fleet for operators: for the leader's log and for `/metrics`. */
import type { FleetState, Scheduler } from '#core';

/** Machines of the fleet, their use by teams, and the jobs and tasks that wait. */
export interface FleetSummary {
  /** Term of the leader, and the largest fencing token that its messages may carry. */
  term: number;
  newestFencingToken: number;
  /** Number of machines by state and kind, such as `up spot`. */
  machines: Record<string, number>;
  /** Machines that are up and hold no task. */
  idleMachines: number;
  /** Accelerators of all machines. */
  totalGpus: number;
  /** Accelerators in use, by team. */
  gpusInUse: Record<string, number>;
  /** Fair-share index by which the scheduler orders the teams. */
  fairShareIndex: Record<string, number>;
  /** Tasks that wait to be placed on a machine, by class. */
  waitingTasks: Record<string, number>;
  /** Jobs with dependencies that are not done. */
  jobsWithOpenDependencies: number;
  /** Jobs whose tasks fail on every machine tried. */
  crashLoopingJobs: number;
  /** Exited attempts that workers keep until no copy of their start can be admitted any more. */
  retainedAttempts: number;
  /** Machine records of this term that were requested only to raise a fencing token. */
  fenceRecords: number;
  /** Attempts found in this term that ran without an assignment. */
  unexpectedAttempts: number;
}

/** Decimal places of the fair-share index in a summary. */
const INDEX_DECIMAL_PLACES = 3;

/** Summarises the fleet at `now`, in seconds of the monotonic clock. */
export function summariseFleet(
  fleet: FleetState,
  scheduler: Scheduler,
  teams: readonly string[],
  now: number,
): FleetSummary {
  const summary: FleetSummary = {
    term: fleet.term,
    newestFencingToken: fleet.fencing.newestFencingToken,
    machines: {},
    idleMachines: 0,
    totalGpus: fleet.machines.totals.gpus,
    gpusInUse: {},
    fairShareIndex: {},
    waitingTasks: {},
    jobsWithOpenDependencies: fleet.jobs.jobsWithOpenDependencies,
    crashLoopingJobs: fleet.failures.crashLoopingJobs.size,
    retainedAttempts: 0,
    fenceRecords: fleet.fencing.recordsRequested,
    unexpectedAttempts: fleet.unexpectedAttempts.total,
  };
  for (const machine of fleet.machines.values()) {
    addToCount(summary.machines, `${machine.state}${machine.spot ? ' spot' : ''}`, 1);
    if (machine.state === 'up' && machine.tasks.size === 0) summary.idleMachines++;
    summary.retainedAttempts += machine.retainedAttempts;
  }
  for (const job of fleet.jobs.waiting) {
    addToCount(summary.waitingTasks, job.spec.class, fleet.jobs.waitingCount(job));
  }
  for (const team of teams) {
    summary.gpusInUse[team] = fleet.usage.amountsOfTeam(team).gpus;
    summary.fairShareIndex[team] = Number(scheduler.index(team, now).toFixed(INDEX_DECIMAL_PLACES));
  }
  return summary;
}

function addToCount(counts: Record<string, number>, key: string, count: number): void {
  counts[key] = (counts[key] ?? 0) + count;
}
