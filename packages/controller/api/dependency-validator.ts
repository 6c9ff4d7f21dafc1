/** Judges a submission by the jobs that it depends on. */
import { type Job, JOB_FIELDS } from '#wire';
import type { EndedJob, JobTable, OpenJob } from '../jobs/job-table.js';

/** Judges the dependencies of submissions by the job table, and brings the table up to date for it. */
export class DependencyValidator {
  constructor(private readonly jobs: JobTable) {}

  /**
   * Why a job can never run for what it depends on, or null. Another controller may have accepted a
   * dependency a moment ago, so that one was never accepted is only said after a read that was sent
   * after the submission. Rejects as `PrefixCache.sync`.
   */
  async rejectionReason({ awaits: dependencies }: Job): Promise<string | null> {
    if (dependencies.some((id) => !this.jobs.get(id))) await this.jobs.cache.sync();
    for (const id of dependencies) {
      const dependency = this.jobs.get(id);
      if (!dependency) return `${JOB_FIELDS.awaits}: ${id} was never accepted`;
      if (isService(dependency)) {
        return `${JOB_FIELDS.awaits}: ${id} is a service, which is never done`;
      }
    }
    return null;
  }

  /**
   * Resolves once it is known whether any dependency was cancelled before the call, directly or with
   * one of its own dependencies. Rejects as `PrefixCache.sync`.
   */
  async syncOutcomes({ awaits: dependencies }: Job): Promise<void> {
    const hasOpen = dependencies.some((id) => this.jobs.get(id)?.phase === 'accepted');
    if (hasOpen) await this.jobs.cache.sync();
  }
}

function isService(record: OpenJob | EndedJob): boolean {
  return record.phase === 'accepted' ? record.job.kind === 'service' : record.isService;
}
