import type { FleetState, CapacityPlanner, Dependencies } from '#core';
import type { DependencyChange } from '#dependencies';
import type { JobRecord } from '#store';
import type { Clock } from '#wire';
import type { JobTable } from './job-table.js';
import type { Log } from '../observability/log.js';

export interface JobIntakeOptions {
  clock: Clock;
  fleet: FleetState;
  planner: Pick<CapacityPlanner, 'jobArrived'>;
  jobs: Pick<JobTable, 'isCancelled' | 'hasOpenDependencies' | 'openDependenciesOf' | 'urgencyOf'>;
  log: Pick<Log, 'debug'>;
  /** Told of each open job that is taken in for the first time. */
  onNewJob?: (record: JobRecord) => void;
}

/** Brings jobs into an owner's fleet state, and ends those whose users have asked for it. */
export class JobIntake {
  /**
   * Jobs that were ended here on request while their record was open, and when that was or when an attempt
   * to record it was last made; steady seconds. Within the term they stay ended, whatever becomes of the
   * request.
   */
  readonly unrecorded = new Map<string, number>();

  constructor(private readonly options: JobIntakeOptions) {}

  /** Takes a record in as the state service holds it; what a user has asked to cancel is never begun. */
  accept(record: JobRecord): void {
    const { clock, fleet, planner, jobs, onNewJob } = this.options;
    const { job, phase, acceptedAtMs, replicas } = record;
    const now = clock.now();
    const ageS = Math.max(0, (clock.wallMs() - acceptedAtMs) / 1000);
    const isNew = !fleet.jobs.has(job.id);
    const dependencies = this.dependenciesOf(job.id);
    fleet.addJob(job, now - ageS, phase, now, { shape: replicas, dependencies });
    if (phase !== 'accepted') this.unrecorded.delete(job.id);
    else if (isNew) {
      if (!dependencies.hasOpenDependencies) planner.jobArrived(job, now);
      onNewJob?.(record);
      if (jobs.isCancelled(job.id)) this.cancel(job.id);
    }
  }

  /** Jobs that a job awaits, or that need it, have changed. */
  applyDependencyChange(change: DependencyChange): void {
    const { clock, fleet, planner, log } = this.options;
    const job = fleet.jobs.get(change.job);
    if (job?.phase !== 'accepted') return;
    const now = clock.now();
    if (change.kind === 'urgency') fleet.changeRank(job, change.urgency.rank, now);
    if (change.kind !== 'startable' || !job.hasOpenDependencies) return;
    fleet.jobs.startable(job, now);
    planner.jobArrived(job.spec, now);
    log.debug({ job: change.job, waitedS: now - job.acceptedAt }, 'all awaited jobs are done');
  }

  private dependenciesOf(id: string): Dependencies {
    const { jobs, log } = this.options;
    const hasOpenDependencies = jobs.hasOpenDependencies(id);
    if (hasOpenDependencies)
      log.debug({ job: id, awaits: jobs.openDependenciesOf(id) }, 'job awaits others');
    return { hasOpenDependencies, rank: jobs.urgencyOf(id).rank };
  }

  /** A user gives the job up; its record may be still to come. False if there is nothing to end. */
  cancel(id: string): boolean {
    const { clock, fleet } = this.options;
    const job = fleet.jobs.get(id);
    if (job?.phase !== 'accepted') return false;
    const now = clock.now();
    fleet.closeJob(job, 'cancelled', now);
    this.unrecorded.set(id, now);
    return true;
  }
}
