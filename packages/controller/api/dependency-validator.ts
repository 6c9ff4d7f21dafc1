import { type Job, JOB_FIELDS } from '#wire';
import type { JobTable } from '../jobs/job-table.js';

/** Judges which jobs a submission awaits. */
export class DependencyValidator {
  constructor(private readonly jobs: JobTable) {}

  /**
   * Why the job can never run for what it awaits, or null. That a job was never accepted is said only by a read
   * that was sent after the question: any controller may have accepted it a moment ago.
   */
  async rejectionReason({ awaits }: Job): Promise<string | null> {
    if (awaits.some((id) => !this.jobs.get(id))) await this.jobs.cache.sync();
    for (const id of awaits) {
      const awaited = this.jobs.get(id);
      if (!awaited) return `${JOB_FIELDS.awaits}: ${id} was never accepted`;
      const isService =
        awaited.phase === 'accepted' ? awaited.job.kind === 'service' : awaited.isService;
      if (isService) return `${JOB_FIELDS.awaits}: ${id} is a service, which is never done`;
    }
    return null;
  }

  /**
   * Resolves once it is known whether any of them was cancelled before the call, directly or with one that it needs.
   */
  async awaitCurrentOutcomes({ awaits }: Job): Promise<void> {
    if (awaits.some((id) => this.jobs.get(id)?.phase === 'accepted')) await this.jobs.cache.sync();
  }
}
