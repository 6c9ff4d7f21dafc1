/** Estimates of the memory that single jobs take. */
import type { Job } from '#wire';

/**
 * Bytes that an open job without dependencies takes at a leader, which keeps more of it than a follower: its record,
 * its state in the fleet and its place in the dependency graph.
 */
const OPEN_JOB_BYTES = 2200;
/** Bytes of a dependency: its entries in the record and in the dependency graph, and a share of the id. */
const DEPENDENCY_BYTES = 24;
/** Bytes of the full record of an ended job that has no dependencies. */
const ENDED_RECORD_BYTES = 600;
/** Bytes of an entry of an array. */
const ARRAY_ENTRY_BYTES = 8;
const BITS_PER_BYTE = 8;
/**
 * Ratio of the bytes that a submission takes while it is accepted to those of its body: the body, the decoded names,
 * and the encoded record.
 */
const SUBMISSION_RATIO = 7;

/** Bytes that are kept of each ended job without its full record. */
export const ENDED_JOB_BYTES = 250;

/** Estimated bytes that an open job takes at a leader. */
export function openJobBytes(job: Job): number {
  const taskBits = Math.ceil(job.tasks / BITS_PER_BYTE);
  // A leader keeps names in the record, and again in keys by which it groups jobs with equal requirements.
  return OPEN_JOB_BYTES + DEPENDENCY_BYTES * job.awaits.length + 2 * nameBytes(job) + taskBits;
}

/** Estimated bytes of the full record of an ended job. */
export function endedRecordBytes(job: Job): number {
  return ENDED_RECORD_BYTES + ARRAY_ENTRY_BYTES * job.awaits.length + nameBytes(job);
}

/** Estimated bytes that a submission takes until it is answered, besides those of the open job. */
export function submissionBytes(bodyBytes: number): number {
  return SUBMISSION_RATIO * bodyBytes;
}

function nameBytes({ class: className, image, types }: Job): number {
  const typeBytes = (types ?? []).reduce((sum, type) => sum + type.length + ARRAY_ENTRY_BYTES, 0);
  return className.length + image.length + typeBytes;
}
