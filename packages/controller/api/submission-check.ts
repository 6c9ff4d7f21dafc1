/** Checks the content of submissions, without looking up their ids. */
import { type ReplicaShape, type TeamQuota, typeFits, withinLimit } from '#core';
import { encodeJob, jobKey, type JobRecord, sizeInJson } from '#store';
import { type Job, JOB_FIELD_NAMES, type MachineType, MalformedBody, parseJob } from '#wire';
import type { ControllerServices } from '../services.js';
import { teamQuotas } from '../settings/settings.js';

const NO_RESOURCES = { cpus: 0, gpus: 0, memory: 0 };

/** A permanent refusal: the HTTP status and the reason. */
export interface Refusal {
  status: 400 | 422;
  error: string;
}

/** A job that passed the check, with the shape of its replicas if they have several members. */
export type AcceptableJob = Pick<JobRecord, 'job' | 'replicas'>;

/** Refuses submissions that are malformed or can never run. */
export class SubmissionCheck {
  private readonly teams: Map<string, TeamQuota>;

  constructor(
    private readonly services: Pick<
      ControllerServices,
      'settings' | 'types' | 'client' | 'replicas'
    >,
  ) {
    this.teams = teamQuotas(services.settings.deployment.teams);
  }

  /**
   * Returns the job as it should be recorded, with the shape of its replicas if they have several members,
   * or the refusal.
   */
  check(raw: unknown): AcceptableJob | { refusal: Refusal } {
    try {
      const job = this.withoutUnknownTypes(parseJob(raw));
      const shape = this.services.replicas.support?.shapeOf(job) ?? null;
      const error = this.findPermanentObstacle(job) ?? this.findReplicaObstacle(job, shape);
      if (error !== null) return { refusal: { status: 422, error } };
      const acceptable = shape === null ? { job } : { job, replicas: shape };
      if (!this.fitsRecord(acceptable))
        return { refusal: { status: 400, error: this.recordTooLargeError() } };
      return acceptable;
    } catch (err) {
      if (!(err instanceof MalformedBody)) throw err;
      return { refusal: { status: 400, error: err.message } };
    }
  }

  /** Drops machine types that don't exist, so that a long list of types doesn't fill the record. */
  private withoutUnknownTypes(job: Job): Job {
    const known = new Set(this.services.types.all().map((type) => type.name));
    if (job.types === null || known.size === 0 || job.types.length <= known.size) return job;
    return { ...job, types: job.types.filter((type) => known.has(type)) };
  }

  /** The reason why a job can never run, or null. Ignores machine types until they are loaded. */
  private findPermanentObstacle(job: Job): string | null {
    if (job.awaits.includes(job.id)) return `${JOB_FIELD_NAMES.awaits}: a job can't await itself`;
    const quota = this.teams.get(job.team);
    if (!quota) return `${JOB_FIELD_NAMES.team}: unknown team`;
    const types = this.services.types.all();
    return findQuotaExcess(job, quota) ?? (types.length > 0 ? findTypeMismatch(job, types) : null);
  }

  /** The reason why no replica of the job can ever have all its members, or null. */
  private findReplicaObstacle(job: Job, shape: ReplicaShape | null): string | null {
    const { replicas, types } = this.services;
    if (shape === null || replicas.support === null) return null;
    return replicas.support.unplaceableReason(job, shape, types.all());
  }

  private recordTooLargeError(): string {
    const { valueBytes } = this.services.client.limits;
    return `lane, crew, bundle, rigs, yard, awaits: their record would be larger than ${valueBytes} bytes`;
  }

  /** Whether the job's record fits into one value of the state service. */
  private fitsRecord({ job, replicas }: AcceptableJob): boolean {
    const value = encodeJob({
      job,
      replicas,
      acceptedAtMs: Number.MAX_SAFE_INTEGER,
      phase: 'accepted',
    });
    return sizeInJson([{ put: jobKey(job.id), value }]) <= this.services.client.limits.valueBytes;
  }
}

/**
 * The reason why the job exceeds its team's limit, or null. An array needs resources for one task at a
 * time, a job of another kind for all its tasks.
 */
function findQuotaExcess(job: Job, quota: TeamQuota): string | null {
  const tasksAtOnce = job.kind === 'array' ? 1 : job.tasks;
  for (const amount of ['cpus', 'gpus'] as const) {
    const needed = job[amount] * tasksAtOnce;
    if (withinLimit(quota, NO_RESOURCES, { ...NO_RESOURCES, [amount]: needed })) continue;
    const fields = tasksAtOnce > 1 ? `${JOB_FIELD_NAMES.tasks}, ` : '';
    return `${fields}${JOB_FIELD_NAMES[amount]}: ${needed} at once is more than the team's limit`;
  }
  return null;
}

/** The reason why a task of the job fits no allowed machine type, or null. */
function findTypeMismatch(job: Job, types: MachineType[]): string | null {
  if (types.some((type) => typeFits(job, type))) return null;
  const listed = types.filter(({ name }) => job.types === null || job.types.includes(name));
  if (listed.length === 0) return `${JOB_FIELD_NAMES.types}: no such machine type`;
  const allowed = listed.filter(({ zones }) => job.zone === null || zones.includes(job.zone));
  if (allowed.length === 0)
    return `${JOB_FIELD_NAMES.zone}: no allowed machine type is in this zone`;
  const amounts = ['cpus', 'gpus', 'memory'] as const;
  const insufficient = amounts.filter((amount) =>
    allowed.every((type) => type[amount] < job[amount]),
  );
  const fields = (insufficient.length > 0 ? insufficient : amounts).map(
    (amount) => JOB_FIELD_NAMES[amount],
  );
  return `${fields.join(', ')}: a task fits no allowed machine type`;
}
