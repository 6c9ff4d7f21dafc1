/** Adds jobs to a leader's fleet state, and cancels them there on request. */
import type { CapacityPlanner, Dependencies, FleetState } from '#core';
import type { DependencyChange } from '#dependencies';
import type { JobRecord } from '#store';
import type { Clock } from '#wire';
import type { Log } from '../observability/log.js';
import type { JobTable } from './job-table.js';

/** Dependencies of a `JobIntake`. */
export interface JobIntakeOptions {
  clock: Clock;
  fleet: FleetState;
  planner: Pick<CapacityPlanner, 'jobArrived'>;
  jobs: Pick<JobTable, 'isCancelled' | 'hasOpenDependencies' | 'openDependenciesOf' | 'urgencyOf'>;
  log: Pick<Log, 'debug'>;
  /** Called with each open job that is accepted for the first time. */
  onNewJob?: (record: JobRecord) => void;
}

/** Adds jobs to a leader's fleet state, and ends those whose cancellation was requested or recorded. */
export class JobIntake {
  /**
   * Jobs that were cancelled here on request although their records still say that they are open. The value is the
   * time of the cancellation or of the last attempt to record it, in seconds of the monotonic clock. Within the term
   * these jobs stay cancelled, whatever happens to the request.
   */
  readonly unrecordedCancellations = new Map<string, number>();

  constructor(private readonly options: JobIntakeOptions) {}

  /** Applies a job record of the state service; a job whose cancellation was requested is never started. */
  accept(record: JobRecord): void {
    const { clock, fleet } = this.options;
    const { job, phase } = record;
    const now = clock.now();
    const known = fleet.jobs.get(job.id);
    if (known === undefined) this.add(record, now);
    else if (phase !== 'accepted') fleet.closeJob(known, phase, now);
    if (phase !== 'accepted') this.unrecordedCancellations.delete(job.id);
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

  /** Applies a change of the dependencies or dependents of a job. */
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

  /** Cancels an open job on a user's request, possibly before its record says so. Returns false if it is not open. */
  cancel(id: string): boolean {
    const { clock, fleet } = this.options;
    const job = fleet.jobs.get(id);
    if (job?.phase !== 'accepted') return false;
    const now = clock.now();
    fleet.closeJob(job, 'cancelled', now);
    this.unrecordedCancellations.set(id, now);
    return true;
  }
}
