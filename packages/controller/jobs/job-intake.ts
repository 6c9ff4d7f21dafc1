/** How jobs come into a leader's fleet state, and how users end them there. */
import type { CapacityPlanner, Dependencies, FleetState } from '#core';
import type { DependencyChange } from '#dependencies';
import type { JobRecord } from '#store';
import type { Clock } from '#wire';
import type { Log } from '../observability/log.js';
import type { JobTable } from './job-table.js';

/** What a `JobIntake` works on. */
export interface JobIntakeOptions {
  clock: Clock;
  fleet: FleetState;
  planner: Pick<CapacityPlanner, 'jobArrived'>;
  jobs: Pick<JobTable, 'isCancelled' | 'hasOpenDependencies' | 'openDependenciesOf' | 'urgencyOf'>;
  log: Pick<Log, 'debug'>;
  /** Called with each open job that is accepted for the first time. */
  onNewJob?: (record: JobRecord) => void;
}

/** Brings jobs into a leader's fleet state, and ends those whose users have asked for it. */
export class JobIntake {
  /**
   * Jobs that were cancelled here on request while their record was open, and when that was or when an attempt
   * to record it was last made; steady seconds. Within the term they stay cancelled, whatever becomes of the
   * request.
   */
  readonly unrecorded = new Map<string, number>();

  constructor(private readonly options: JobIntakeOptions) {}

  /** Accepts a record as the state service holds it; a job that a user has asked to cancel is never begun. */
  accept(record: JobRecord): void {
    const { clock, fleet } = this.options;
    const { job, phase } = record;
    const now = clock.now();
    const known = fleet.jobs.get(job.id);
    if (known === undefined) this.add(record, now);
    else if (phase !== 'accepted') fleet.closeJob(known, phase, now);
    if (phase !== 'accepted') this.unrecorded.delete(job.id);
  }

  private add(record: JobRecord, now: number): void {
    const { clock, fleet, planner, jobs, onNewJob } = this.options;
    const { job, phase, acceptedAtMs, replicas } = record;
    const ageS = Math.max(0, (clock.wallMs() - acceptedAtMs) / 1000);
    const dependencies = this.dependenciesOf(job.id);
    fleet.addJob(job, now - ageS, phase, now, { shape: replicas, dependencies });
    if (phase !== 'accepted') return;
    if (!dependencies.hasOpenDependencies) planner.jobArrived(job, now);
    onNewJob?.(record);
    if (jobs.isCancelled(job.id)) this.cancel(job.id);
  }

  /** Jobs on which a job depends, or that depend on it, have changed. */
  applyDependencyChange(change: DependencyChange): void {
    const { clock, fleet, planner, log } = this.options;
    const job = fleet.jobs.get(change.job);
    if (job?.phase !== 'accepted') return;
    const now = clock.now();
    if (change.kind === 'urgency') fleet.changeRank(job, change.urgency.rank, now);
    if (change.kind !== 'startable' || !job.hasOpenDependencies) return;
    fleet.jobs.dependenciesDone(job, now);
    planner.jobArrived(job.spec, now);
    log.debug(
      { job: change.job, waitedS: now - job.acceptedAt },
      'job may start: its dependencies are done',
    );
  }

  private dependenciesOf(id: string): Dependencies {
    const { jobs, log } = this.options;
    const hasOpenDependencies = jobs.hasOpenDependencies(id);
    if (hasOpenDependencies) {
      const openDependencies = jobs.openDependenciesOf(id);
      log.debug({ job: id, openDependencies }, 'job waits for its dependencies');
    }
    return { hasOpenDependencies, rank: jobs.urgencyOf(id).rank };
  }

  /** Cancels an open job on a user's request, before its record may say so. False if no such job is open. */
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
