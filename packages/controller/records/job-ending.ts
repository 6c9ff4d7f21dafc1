/** Builds the change that records the end of an open job. */
import { encodeEndedJob, jobKey } from '#store';
import type { Condition } from '#wire';
import type { EndedJob, OpenJob } from '../jobs/job-table.js';

/** The change that records the end of a job. The condition makes the end final: it fails if the job ended before. */
export interface JobEnding {
  condition: Condition;
  change: { put: string; value: unknown };
}

/** Builds the change that puts an open job into its final phase; the value takes at most `valueBytes` of JSON. */
export function createJobEnding(
  record: OpenJob,
  phase: EndedJob['phase'],
  valueBytes: number,
): JobEnding {
  const key = jobKey(record.job.id);
  const value = encodeEndedJob({ ...record, phase }, valueBytes);
  return { condition: { key, version: record.version }, change: { put: key, value } };
}
