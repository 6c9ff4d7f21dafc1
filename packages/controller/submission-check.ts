import { type TeamQuota, typeFits, withinLimit } from '#core';
import { encodeJob, jobKey, sizeInJson } from '#store';
import { type Job, MalformedBody, parseJob } from '#wire';
import type { ControllerServices } from './services.js';
import { teamQuotas } from './settings.js';

/** Why a submission is turned away for good. */
export interface Refusal {
  status: 400 | 422;
  error: string;
}

/** Judges submissions by themselves, whatever is known of their ids. */
export class SubmissionCheck {
  private readonly teams: Map<string, TeamQuota>;

  constructor(
    private readonly services: Pick<ControllerServices, 'settings' | 'types' | 'client'>,
  ) {
    this.teams = teamQuotas(services.settings.deployment.teams);
  }

  /** The job as it is to be recorded, or why it is refused. */
  check(raw: unknown): { job: Job } | { refusal: Refusal } {
    try {
      const job = this.withoutUnknownTypes(parseJob(raw));
      const error = this.whyNever(job);
      if (error !== null) return { refusal: { status: 422, error } };
      if (!this.fitsRecord(job)) return { refusal: { status: 400, error: 'texts are too long' } };
      return { job };
    } catch (err) {
      if (!(err instanceof MalformedBody)) throw err;
      return { refusal: { status: 400, error: err.message } };
    }
  }

  /** Of many types those that do not exist here need no place in the record. */
  private withoutUnknownTypes(job: Job): Job {
    const known = new Set(this.services.types.all().map((type) => type.name));
    if (job.types === null || known.size === 0 || job.types.length <= known.size) return job;
    return { ...job, types: job.types.filter((type) => known.has(type)) };
  }

  /** Why a job can never run, or null. */
  private whyNever(job: Job): string | null {
    const quota = this.teams.get(job.team);
    if (!quota) return 'unknown team';
    const tasksAtOnce = job.kind === 'array' ? 1 : job.tasks;
    const need = { cpus: job.cpus * tasksAtOnce, gpus: job.gpus * tasksAtOnce, memory: 0 };
    if (!withinLimit(quota, { cpus: 0, gpus: 0, memory: 0 }, need)) {
      return "more than the team's limit";
    }
    const types = this.services.types.all();
    if (types.length > 0 && !types.some((type) => typeFits(job, type))) {
      return 'a task fits no allowed machine type';
    }
    return null;
  }

  private fitsRecord(job: Job): boolean {
    const value = encodeJob({ job, acceptedAtMs: Number.MAX_SAFE_INTEGER, phase: 'accepted' });
    return sizeInJson([{ put: jobKey(job.id), value }]) <= this.services.client.limits.valueBytes;
  }
}
