/** Size of a machine's record in JSON, by which the state service measures records. */
import type { Job } from '#wire';
import type { Assignment } from './entities.js';

/** Digits of the largest attempt number and of the largest task index. */
const MAX_ATTEMPT_DIGITS = 16;
const MAX_INDEX_DIGITS = 5;
/** Characters of the longest job id. */
const MAX_JOB_ID_LENGTH = 20;
/** Bytes of the brackets, quotes and commas in the entry of one task. */
const ENTRY_SYNTAX_BYTES = '["",,],'.length;
/** Bytes of the largest entry of a task. */
export const MAX_ENTRY_BYTES =
  ENTRY_SYNTAX_BYTES + MAX_JOB_ID_LENGTH + MAX_INDEX_DIGITS + MAX_ATTEMPT_DIGITS;

/** The longest address of a machine. */
const LONGEST_ADDRESS = '255.255.255.255:65535';

/** Bytes of the record of a machine without tasks. */
export function emptyRecordBytes(machine: { type: string; zone: string; spot: boolean }): number {
  const { type, zone, spot } = machine;
  const record = { addr: LONGEST_ADDRESS, type, zone, spot, tasks: [] };
  return Buffer.byteLength(JSON.stringify(record));
}

/** Bytes that the assignment takes in its machine's record. */
export function entryBytes({ job, index, attempt }: Assignment): number {
  return ENTRY_SYNTAX_BYTES + job.spec.id.length + String(index).length + String(attempt).length;
}

/** Maximum bytes of the entry of one of the job's tasks. */
export function maxTaskEntryBytes({ id, tasks }: Job): number {
  return ENTRY_SYNTAX_BYTES + id.length + String(tasks - 1).length + MAX_ATTEMPT_DIGITS;
}
