/** The record of a shard's leader, and its encoding in the state service. */

/** The leader of a shard, and its lease in the state service. */
export interface LeaderRecord {
  /** Name of the controller that leads. */
  leader: string;
  /** ID of its election lease. */
  leaseId: number;
}

/** The stored form of the record. */
interface StoredLeader {
  owner: string;
  grant: number;
}

/** Encodes the record for storage. */
export function encodeLeader({ leader, leaseId }: LeaderRecord): unknown {
  return { owner: leader, grant: leaseId } satisfies StoredLeader;
}

/** Decodes a stored value. */
export function decodeLeader(value: unknown): LeaderRecord {
  const stored = value as StoredLeader;
  return { leader: stored.owner, leaseId: stored.grant };
}
