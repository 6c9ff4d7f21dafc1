/** The record of a job, and its encoding in the state service. */
import type { ReplicaShape } from '#core';
import { type Job, jobToWire, parseJob } from '#wire';
import { sizeInJson } from '../state-limits.js';

/** Characters to which names are cut in a finished job's record that exceeds the value limit. */
const SHORTENED_NAME_CHARACTERS = 32;

/** Phase of a job in its record; `cancelled` and `done` are final. */
export type JobRecordPhase = 'accepted' | 'cancelled' | 'done';

/** The decoded record of a job. */
export interface JobRecord {
  job: Job;
  /** Time of day in milliseconds since 1970. */
  acceptedAtMs: number;
  phase: JobRecordPhase;
  /** How the tasks are grouped into replicas, decided at acceptance; absent if each task stands alone. */
  replicas?: ReplicaShape;
  /** Revision of the latest change of the record. */
  version: number;
}

/** Names of the phases in stored records, which older versions read and write, too. */
const STORED_PHASES = { accepted: 'accepted', cancelled: 'aborted', done: 'done' } as const;
type StoredPhase = (typeof STORED_PHASES)[JobRecordPhase];

/** The stored form of a job's record. */
interface StoredJob {
  job: unknown;
  at: number;
  phase: StoredPhase;
  replicas?: ReplicaShape;
}

/** Encodes the record of a job for storage. */
export function encodeJob(record: Omit<JobRecord, 'version'>): unknown {
  const { job, acceptedAtMs, phase, replicas } = record;
  const stored: StoredJob = {
    job: jobToWire(job),
    at: acceptedAtMs,
    phase: STORED_PHASES[phase],
  };
  return replicas ? { ...stored, replicas } : stored;
}

/** Decodes a stored value; throws `MalformedBody` if the job in it is not valid. */
export function decodeJob(value: unknown, version: number): JobRecord {
  const stored = value as StoredJob;
  const { replicas } = stored;
  const phase: JobRecordPhase = stored.phase === 'aborted' ? 'cancelled' : stored.phase;
  const record = { job: parseJob(stored.job), acceptedAtMs: stored.at, phase, version };
  return replicas ? { ...record, replicas } : record;
}

/**
 * Encodes the record of a finished job for storage, in at most `valueBytes` of JSON. If the submitted
 * job is too large, fields that only affect where and when its tasks may start are removed or shortened:
 * older versions may have stored the job under a larger limit.
 */
export function encodeEndedJob(record: Omit<JobRecord, 'version'>, valueBytes: number): unknown {
  const whole = encodeJob(record);
  if (sizeInJson(whole) <= valueBytes) return whole;
  const { job } = record;
  return encodeJob({
    ...record,
    job: {
      ...job,
      types: null,
      awaits: [],
      class: job.class.slice(0, SHORTENED_NAME_CHARACTERS),
      image: job.image.slice(0, SHORTENED_NAME_CHARACTERS),
      zone: null,
    },
  });
}
