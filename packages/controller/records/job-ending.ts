/** How the record of an open job comes to say that the job is over. */
import { encodeEndedJob, jobKey } from '#store';
import type { Condition } from '#wire';
import type { EndedJob, OpenJob } from '../jobs/job-table.js';

/** The change that ends a job's record, and the condition that makes it final: nobody ended it before. */
export interface JobEnding {
  condition: Condition;
  change: { put: string; value: unknown };
}

/** The record of an open job as it ends in a phase, in at most so many bytes of JSON. */
export function jobEnding(
  record: OpenJob,
  phase: EndedJob['phase'],
  valueBytes: number,
): JobEnding {
  const key = jobKey(record.job.id);
  const value = encodeEndedJob({ ...record, phase }, valueBytes);
  return { condition: { key, version: record.version }, change: { put: key, value } };
}
