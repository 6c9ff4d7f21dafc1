import type { ReplicaShape } from '#core';
import { Job, jobToWire, parseJob } from '#wire';

/** Keys and values that the service keeps in the state service. */

export const JOBS = 'jobs/';
export const WORLD = 'world/';
export const MACHINES = 'machines/';
export const PROGRESS = 'progress/';
export const TYPES_KEY = 'world/types';

export interface JobRecord {
  job: Job;
  acceptedAtMs: number;
  phase: 'accepted' | 'aborted' | 'done';
  /** How its tasks form replicas, as settled when it was accepted; absent: each task is by itself. */
  replicas?: ReplicaShape;
  version: number;
}

export function jobKey(id: string): string {
  return JOBS + id;
}

export function partKey(part: number): string {
  return `world/parts/${part}`;
}

export function encodeJob(record: Omit<JobRecord, 'version'>): unknown {
  const { job, acceptedAtMs, phase, replicas } = record;
  const plain = { job: jobToWire(job), at: acceptedAtMs, phase };
  return replicas ? { ...plain, replicas } : plain;
}

export function decodeJob(value: unknown, version: number): JobRecord {
  const raw = value as Pick<JobRecord, 'phase' | 'replicas'> & { job: unknown; at: number };
  const { phase, replicas } = raw;
  const record = { job: parseJob(raw.job), acceptedAtMs: raw.at, phase, version };
  return replicas ? { ...record, replicas } : record;
}

/** Changes with every deletion of a part's records; see RemovalMarker. */
export function removalsKey(part: number): string {
  return `removals/${part}`;
}

export interface PartRecord {
  owner: string;
  grant: number;
}

export interface MachineRecord {
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Job, task index and attempt of each assignment. */
  tasks: [string, number, number][];
}

/** Tasks whose done bits share one progress value: in base64 they fill half the value limit. */
export function progressChunkTasks(valueBytes: number): number {
  return Math.max(8, Math.floor((valueBytes / 2) * 0.75) * 8);
}

export function progressKey(id: string, chunk: number): string {
  return `${PROGRESS}${id}/${chunk}`;
}

/** Assignments that fit one machine record: each takes less than 64 bytes in JSON. */
export function maxTasksPerMachine(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes / 64) - 4);
}
