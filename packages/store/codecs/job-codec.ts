/** The record of a job, and its form in the state service. */
import type { ReplicaShape } from '#core';
import { type Job, jobToWire, parseJob } from '#wire';
import { sizeInJson } from '../state-limits.js';

/** Characters that are kept of a name in the record of a job that is over and too long. */
const SHORTENED_NAME_CHARACTERS = 32;

/** How far a job has come, as far as the state service holds it; `cancelled` and `done` are final. */
export type JobRecordPhase = 'accepted' | 'cancelled' | 'done';

/** A job as the state service holds it. */
export interface JobRecord {
  job: Job;
  /** Time of day in milliseconds since 1970. */
  acceptedAtMs: number;
  phase: JobRecordPhase;
  /** How its tasks form replicas, decided when it was accepted; absent: each task is by itself. */
  replicas?: ReplicaShape;
  /** Revision of the record's last change. */
  version: number;
}

/** The words for the phases in stored records, which older versions read and write, too. */
const STORED_PHASES = { accepted: 'accepted', cancelled: 'aborted', done: 'done' } as const;
type StoredPhase = (typeof STORED_PHASES)[JobRecordPhase];

/** A job's record as it is stored. */
interface StoredJob {
  job: unknown;
  at: number;
  phase: StoredPhase;
  replicas?: ReplicaShape;
}

/** The value to store for a job. */
export function encodeJob(record: Omit<JobRecord, 'version'>): unknown {
  const { job, acceptedAtMs, phase, replicas } = record;
  const stored: StoredJob = {
    job: jobToWire(job),
    at: acceptedAtMs,
    phase: STORED_PHASES[phase],
  };
  return replicas ? { ...stored, replicas } : stored;
}

/** Reads a stored value; throws `MalformedBody` if the job in it is not valid. */
export function decodeJob(value: unknown, version: number): JobRecord {
  const stored = value as StoredJob;
  const { replicas } = stored;
  const phase: JobRecordPhase = stored.phase === 'aborted' ? 'cancelled' : stored.phase;
  const record = { job: parseJob(stored.job), acceptedAtMs: stored.at, phase, version };
  return replicas ? { ...record, replicas } : record;
}

/**
 * The value to store for a job that is over, in at most so many bytes of JSON. If what its user
 * submitted is too long, fields that only decided where its tasks may start are left out or
 * shortened: older versions may have written a job under a larger limit.
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
