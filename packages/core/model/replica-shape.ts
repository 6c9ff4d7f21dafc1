/** How the tasks of a service form replicas of several members. */

/** The shape of a job's replicas: tasks 0 to `members` - 1 are the first replica. */
export interface ReplicaShape {
  members: number;
  /** All members of one replica must be in the same zone. */
  sameZone: boolean;
}

/** Where a member's place comes from. */
export type PlaceOrigin =
  /** Decided in this term. */
  | 'placed'
  /** Read from the records of an earlier term. */
  | 'inherited'
  /** Listed in a heartbeat though no record names it; it is stopped. */
  | 'unrecorded';
