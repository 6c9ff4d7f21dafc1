import { assignmentsOf, FleetState, JobState, Scheduler } from '#core';

/** The fleet, its use and what waits, as operators want to see it. */
export interface FleetSummary {
  /** Number of machines by state and kind, such as `up spot`. */
  machines: Record<string, number>;
  /** Machines that are up and hold no task. */
  idle: number;
  /** Accelerators of all machines. */
  gpus: number;
  /** Accelerators in use by team. */
  use: Record<string, number>;
  /** Index of each team. */
  index: Record<string, number>;
  /** Tasks that wait for a place, by class. */
  waiting: Record<string, number>;
  /** Jobs that await others which are not done. */
  awaiting: number;
  /** Jobs whose tasks fail on every machine tried. */
  suspects: number;
}

export function summariseFleet(
  fleet: FleetState,
  scheduler: Scheduler,
  teams: readonly string[],
  now: number,
): FleetSummary {
  const summary: FleetSummary = {
    machines: {},
    idle: 0,
    gpus: fleet.machines.totals.gpus,
    use: {},
    index: {},
    waiting: {},
    awaiting: fleet.jobs.jobsWithOpenDependencies,
    suspects: fleet.failures.crashLoopingJobs.size,
  };
  for (const machine of fleet.machines.values()) {
    add(summary.machines, `${machine.state}${machine.spot ? ' spot' : ''}`, 1);
    if (machine.state === 'up' && machine.tasks.size === 0) summary.idle++;
  }
  for (const job of fleet.jobs.waiting)
    add(summary.waiting, job.spec.class, fleet.jobs.waitingCount(job));
  for (const team of teams) {
    summary.use[team] = fleet.usage.ofTeam(team).gpus;
    summary.index[team] = Number(scheduler.index(team, now).toFixed(3));
  }
  return summary;
}

function add(counts: Record<string, number>, key: string, count: number): void {
  counts[key] = (counts[key] ?? 0) + count;
}

/**
 * How many machines should report, and how many did so within the time. Those whose leases have run out should, too:
 * an owner that none reaches has no others in the end.
 */
export function countReachable(
  fleet: FleetState,
  now: number,
  withinS: number,
): { machines: number; reachable: number } {
  let machines = 0;
  let reachable = 0;
  for (const { state, answeredAt } of fleet.machines.values()) {
    if (state === 'booting') continue;
    machines++;
    if (state === 'up' && now - answeredAt <= withinS) reachable++;
  }
  return { machines, reachable };
}

/** Task counts of a job, for display. */
export interface TaskCounts {
  job: string;
  done: number;
  running: number;
}

/** The counts of all jobs that are not over. */
export function countAllTasks(fleet: FleetState): TaskCounts[] {
  const open = [...fleet.jobs.values()].filter(({ phase }) => phase === 'accepted');
  return open.map(countTasks);
}

/** The counts of the jobs for which they may have changed since the last call. */
export function countChangedTasks(fleet: FleetState): TaskCounts[] {
  return fleet.jobs.takeCountsChanged().map(countTasks);
}

function countTasks(job: JobState): TaskCounts {
  return { job: job.spec.id, done: job.done.size, running: runningTasks(job) };
}

function runningTasks(job: JobState): number {
  let running = 0;
  for (const place of assignmentsOf(job)) if (place.reportedState === 'running') running++;
  return running;
}
