/** Checks the dependencies of submitted jobs. */
import { type Job, JOB_FIELD_NAMES } from '#wire';
import type { EndedJob, JobTable, OpenJob } from '../jobs/job-table.js';

/** Checks the dependencies of a submission against the job table, and updates the table first if necessary. */
export class DependencyValidator {
  constructor(private readonly jobs: JobTable) {}

  /**
   * The reason why the job's dependencies can never be met, or null. Another controller may just have
   * accepted a dependency that is missing in the job table. The method therefore reports a dependency as
   * never accepted only after a read of the state service that was sent after the submission arrived.
   * Rejects like `PrefixCache.sync`.
   */
  async rejectionReason({ awaits: dependencies }: Job): Promise<string | null> {
    if (dependencies.some((id) => !this.jobs.get(id))) await this.jobs.cache.sync();
    for (const id of dependencies) {
      const dependency = this.jobs.get(id);
      if (!dependency) return `${JOB_FIELD_NAMES.awaits}: ${id} was never accepted`;
      if (isService(dependency)) {
        return `${JOB_FIELD_NAMES.awaits}: ${id} is a service, which is never done`;
      }
    }
    return null;
  }

  /**
   * Resolves once the job table shows every cancellation of a dependency made before the call, whether of
   * the dependency itself or of one of its own dependencies. Rejects like `PrefixCache.sync`.
   */
  async syncOutcomes({ awaits: dependencies }: Job): Promise<void> {
    const hasOpen = dependencies.some((id) => this.jobs.get(id)?.phase === 'accepted');
    if (hasOpen) await this.jobs.cache.sync();
  }
}

function isService(record: OpenJob | EndedJob): boolean {
  return record.phase === 'accepted' ? record.job.kind === 'service' : record.isService;
}
