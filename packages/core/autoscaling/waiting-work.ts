/** Packs waiting jobs into the bins of a plan. */
import type { Job } from '#wire';
import { mayScaleOutFor } from '../fair-share/best-effort.js';
import { byAge } from '../fair-share/job-order.js';
import { type TeamQuota, timesWithinLimit } from '../fair-share/team-quota.js';
import { iterateByRankAndAge } from '../fair-share/waiting-order.js';
import type { FleetState } from '../fleet-state.js';
import { addResources, type Resources, multiplyResources } from '../model/resources.js';
import type { JobState } from '../model/entities.js';
import { needsOneZone } from '../model/replica-groups.js';
import type { BinPacking } from './bin-packing.js';
import type { ExistingBin } from './bins.js';

/** Maximum number of tasks of one job that a plan packs; later plans pack the rest. */
const MAX_TASKS_PER_JOB = 2000;
/** Maximum number of jobs of one bucket that a plan visits. */
const MAX_JOBS_PER_BUCKET = 500;
/** Maximum number of machines on which a plan packs tasks of a starved best-effort job. */
const MAX_BEST_EFFORT_MACHINES = 1;
/** Number of processors that count as much as one accelerator when jobs are ordered by size. */
const CPUS_PER_GPU = 1000;

/** The waiting jobs of one plan, which is made at `now` (seconds of the monotonic clock). */
export class WaitingWork {
  private readonly firm: JobState[] = [];
  private readonly starvedBestEffort: JobState[];
  /** Amounts used by team, including the tasks that the plan has packed. */
  private readonly usage = new Map<string, Resources>();

  constructor(
    private readonly fleet: FleetState,
    private readonly teams: ReadonlyMap<string, TeamQuota>,
    private readonly packing: BinPacking,
    private readonly now: number,
  ) {
    const bestEffort: JobState[] = [];
    for (const bucket of fleet.jobs.waiting.buckets()) {
      const jobs = takeFirst(
        this.allowedToRequestCapacity(iterateByRankAndAge([bucket])),
        MAX_JOBS_PER_BUCKET,
      );
      (bucket.isBestEffort ? bestEffort : this.firm).push(...jobs);
    }
    this.starvedBestEffort = bestEffort.filter((job) => mayScaleOutFor(fleet, job, now));
  }

  /** Packs the firm jobs. Amounts used by best-effort tasks are ignored. */
  packFirm(): void {
    for (const job of this.firm.sort(byRankAndSize)) this.packJob(job, Infinity);
  }

  /** Packs the best-effort jobs that have waited long without any task, beside all other tasks. */
  packStarvedBestEffort(): void {
    if (this.starvedBestEffort.length === 0) return;
    this.packing.includeBestEffortUse();
    for (const job of this.starvedBestEffort.sort(byRankAndSize)) {
      this.packJob(job, MAX_BEST_EFFORT_MACHINES);
    }
  }

  /** Yields the jobs for which machines may be scaled out; crash-looping jobs are left out for some time. */
  private *allowedToRequestCapacity(jobs: Iterable<JobState>): Generator<JobState> {
    for (const job of jobs) if (this.fleet.failures.mayRequestCapacity(job, this.now)) yield job;
  }

  /** Packs tasks of the job within its team's limit, on at most `maxMachines` for the job or for each replica. */
  private packJob(job: JobState, maxMachines: number): void {
    const { spec } = job;
    const quota = this.teams.get(spec.team);
    if (!quota) return;
    const used = this.usageOf(spec.team);
    const zones = new Map<string, number>();
    const maxTasks = Math.min(this.plannedTasks(job), timesWithinLimit(quota, used, spec));
    const groupSize = job.replicas?.members ?? maxTasks;
    for (let left = maxTasks; left > 0; left -= groupSize) {
      const tasks = Math.min(left, groupSize);
      const packed = this.packTogether(job, tasks, zones, maxMachines);
      addResources(used, multiplyResources(spec, packed), 1);
      if (packed < tasks) return;
    }
  }

  private usageOf(team: string): Resources {
    let used = this.usage.get(team);
    if (!used) this.usage.set(team, (used = { ...this.fleet.usage.amountsOfTeam(team) }));
    return used;
  }

  private plannedTasks(job: JobState): number {
    const { jobs, failures } = this.fleet;
    const startable = Math.min(jobs.waitingCount(job), failures.maxStartableTasks(job));
    return Math.min(startable, MAX_TASKS_PER_JOB);
  }

  /**
   * Packs up to `count` tasks of a job, or of one replica, on at most `maxMachines` machines. Returns how many
   * found capacity. `zones` counts the job's packed tasks by zone.
   */
  private packTogether(
    job: JobState,
    count: number,
    zones: Map<string, number>,
    maxMachines: number,
  ): number {
    const { packing } = this;
    const { spec, replicas } = job;
    const oneZone = needsOneZone(job);
    const zone = zoneToPack(spec, packing.existing);
    let request = packing.createRequest({ ...spec, zone }, spec.id, zones);
    if (replicas !== null && oneZone && zone === null) {
      const chosen = packing.zoneForAll(request, count);
      request = packing.createRequest({ ...spec, zone: chosen }, spec.id, zones);
    }
    let left = count;
    for (let machines = 0; left > 0 && machines < maxMachines; machines++) {
      const packed = packing.place(request, left);
      if (!packed) break;
      const { bin, tasks } = packed;
      if (oneZone && request.job.zone === null) {
        request = packing.createRequest({ ...spec, zone: bin.zone }, spec.id, zones);
      }
      zones.set(bin.zone, (zones.get(bin.zone) ?? 0) + tasks);
      left -= tasks;
    }
    return count - left;
  }
}

/**
 * Returns the zone to which packing the job is limited, or null for any zone. A job that must be in one zone
 * goes where machines are reserved for it, if there are any.
 */
function zoneToPack(job: Job, existing: ExistingBin[]): string | null {
  if (!job.oneZone) return job.zone;
  return existing.find((bin) => bin.reservedForGang === job.id)?.zone ?? job.zone;
}

function takeFirst<T>(items: Iterable<T>, maxCount: number): T[] {
  const first: T[] = [];
  for (const item of items) {
    if (first.length === maxCount) break;
    first.push(item);
  }
  return first;
}

/** Orders by rank, highest first; then by size, largest first, since small tasks fit into gaps; then by age. */
function byRankAndSize(a: JobState, b: JobState): number {
  return a.rank - b.rank || sizeOf(b.spec) - sizeOf(a.spec) || byAge(a, b);
}

/** Size of a task of the job, in which accelerators outweigh processors. */
function sizeOf(job: Job): number {
  return job.gpus * CPUS_PER_GPU + job.cpus;
}
