/**
 * Keys of the records that the controllers keep in the state service. They are shared with older
 * versions, so their words stay as they are: a shard is called a part there.
 */

/** Prefix of all job records. */
export const JOBS = 'jobs/';
/** Prefix of what concerns the whole cluster: leaders of shards, machine types, shard migrations. */
export const WORLD = 'world/';
/** Prefix of all machine records. */
export const MACHINES = 'machines/';
/** Prefix of all progress records (`ProgressLayout`). */
export const PROGRESS = 'progress/';
/** Key of the first page of the machine types. */
export const TYPES_KEY = 'world/types';

/** Key of a job's record. */
export function jobKey(id: string): string {
  return JOBS + id;
}

/** Key of the leader record of a shard; the key's version is the leader's term. */
export function shardKey(shard: number): string {
  return `world/parts/${shard}`;
}

/** Key that changes with every deletion of a shard's records (`RemovalMarker`). */
export function removalsKey(shard: number): string {
  return `removals/${shard}`;
}
