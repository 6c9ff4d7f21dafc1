/** The seeded faults of the replica group model. */
/** A seeded fault; each one removes one safeguard of replica groups. */
export type SeededReplicaFault =
  | 'none'
  /** The leader sends starts whose records are not durable. */
  | 'starts-unrecorded'
  /** The leader places a new generation before all members of the old one are gone. */
  | 'places-before-gone'
  /** The leader lets a generation that lost a member go on running. */
  | 'keeps-incomplete-generation'
  /** A new leader adopts a generation although the records do not name all of its members. */
  | 'adopts-incomplete'
  /** Records are written without the condition that the leader's term is the newest one. */
  | 'records-without-term'
  /** Workers execute commands with outdated fencing tokens. */
  | 'obeys-old-tokens'
  /** The leader considers the tasks of a silent machine gone before the machine's lease has expired. */
  | 'trusts-silence'
  /** The entry member answers a request that not all members have marked. */
  | 'answers-without-mates';
