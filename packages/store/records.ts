import type { ReplicaShape } from '#core';
import { Job, jobToWire, parseJob } from '#wire';
import { sizeInJson } from './txn-limits.js';

/** Keys and values that the service keeps in the state service. */

export const JOBS = 'jobs/';
export const WORLD = 'world/';
export const MACHINES = 'machines/';
export const PROGRESS = 'progress/';
/** Characters that are kept of a name in the record of a job that is over and too long. */
const SHORT_NAME = 32;

export const TYPES_KEY = 'world/types';

/** How far a job has come, as far as the state service holds it; `cancelled` and `done` are final. */
export type JobRecordPhase = 'accepted' | 'cancelled' | 'done';

/** The words for these phases in stored records, which older versions read and write, too. */
const STORED_PHASES = { accepted: 'accepted', cancelled: 'aborted', done: 'done' } as const;
type StoredPhase = (typeof STORED_PHASES)[JobRecordPhase];

export interface JobRecord {
  job: Job;
  acceptedAtMs: number;
  phase: JobRecordPhase;
  /** How its tasks form replicas, as settled when it was accepted; absent: each task is by itself. */
  replicas?: ReplicaShape;
  version: number;
}

export function jobKey(id: string): string {
  return JOBS + id;
}

export function shardKey(shard: number): string {
  return `world/parts/${shard}`;
}

/** A job's record as it is stored. */
interface StoredJob {
  job: unknown;
  at: number;
  phase: StoredPhase;
  replicas?: ReplicaShape;
}

export function encodeJob(record: Omit<JobRecord, 'version'>): unknown {
  const { job, acceptedAtMs, phase, replicas } = record;
  const plain = { job: jobToWire(job), at: acceptedAtMs, phase: STORED_PHASES[phase] };
  return replicas ? { ...plain, replicas } : plain;
}

export function decodeJob(value: unknown, version: number): JobRecord {
  const raw = value as StoredJob;
  const { replicas } = raw;
  const phase: JobRecordPhase = raw.phase === 'aborted' ? 'cancelled' : raw.phase;
  const record = { job: parseJob(raw.job), acceptedAtMs: raw.at, phase, version };
  return replicas ? { ...record, replicas } : record;
}

/**
 * The record of a job that is over, in at most so many bytes of JSON: if what its user submitted is too long, what
 * only decided where its tasks may start is left out or shortened. Older versions may have written a job under a
 * larger limit.
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
      class: job.class.slice(0, SHORT_NAME),
      image: job.image.slice(0, SHORT_NAME),
      zone: null,
    },
  });
}

/** Changes with every deletion of a part's records; see RemovalMarker. */
export function removalsKey(shard: number): string {
  return `removals/${shard}`;
}

/** Who leads a shard, and the lease in the state service on which that depends. */
export interface LeaderRecord {
  /** Name of the controller. */
  leader: string;
  leaseId: number;
}

/** A shard's record as it is stored. */
interface StoredLeader {
  owner: string;
  grant: number;
}

export function encodeLeader({ leader, leaseId }: LeaderRecord): unknown {
  return { owner: leader, grant: leaseId } satisfies StoredLeader;
}

export function decodeLeader(value: unknown): LeaderRecord {
  const { owner, grant } = value as StoredLeader;
  return { leader: owner, leaseId: grant };
}

export interface MachineRecord {
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Job, task index and attempt of each assignment. */
  tasks: [string, number, number][];
}
