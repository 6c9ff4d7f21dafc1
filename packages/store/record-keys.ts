/**
 * Keys of the records that the controllers keep in the state service. Older versions use the same keys,
 * so these must not change; a shard is called a part in them.
 */

/** Prefix of all job records. */
export const JOBS_PREFIX = 'jobs/';
/** Prefix of the cluster-wide records: shard leaders, machine types, shard migrations. */
export const CLUSTER_PREFIX = 'world/';
/** Prefix of all machine records. */
export const MACHINES_PREFIX = 'machines/';
/** Prefix of all progress records (`ProgressLayout`). */
export const PROGRESS_PREFIX = 'progress/';
/** Key of the first page of the machine types. */
export const TYPES_KEY = 'world/types';

/** Key of a job's record. */
export function jobKey(id: string): string {
  return JOBS_PREFIX + id;
}

/** Key of the leader record of a shard; the version of this key is the leader's term. */
export function shardKey(shard: number): string {
  return `world/parts/${shard}`;
}

/** Key of a marker that changes with every deletion of records of a shard (`RemovalMarker`). */
export function removalsKey(shard: number): string {
  return `removals/${shard}`;
}
