/** How the tasks of a service form replicas of several members. */

/** The shape of a job's replicas: tasks 0 to `members` - 1 are the first replica. */
export interface ReplicaShape {
  members: number;
  /** All members of one replica must be in the same zone. */
  sameZone: boolean;
}

/** How a member of a replica came to its assignment. */
export type AssignmentOrigin =
  /** Placed in this term. */
  | 'placed'
  /** Read from the records of an earlier term. */
  | 'inherited'
  /** Listed in a heartbeat although no record contains it; the member is stopped. */
  | 'unrecorded';
