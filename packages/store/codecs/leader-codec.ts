/** The record of a shard's leader, and its form in the state service. */

/** Who leads a shard, and the lease in the state service on which that depends. */
export interface LeaderRecord {
  /** Name of the controller. */
  leader: string;
  /** Number of its election lease. */
  leaseId: number;
}

/** A shard's record as it is stored. */
interface StoredLeader {
  owner: string;
  grant: number;
}

/** The value to store for a shard's leader. */
export function encodeLeader({ leader, leaseId }: LeaderRecord): unknown {
  return { owner: leader, grant: leaseId } satisfies StoredLeader;
}

/** Reads a stored value. */
export function decodeLeader(value: unknown): LeaderRecord {
  const stored = value as StoredLeader;
  return { leader: stored.owner, leaseId: stored.grant };
}
