/** The seeded mistakes of the model of replica groups. */
/** A deliberate seeded fault, each of which takes one guard of replica groups away. */
export type ReplicaMistake =
  | 'none'
  /** The leader sends starts whose records are not durable. */
  | 'starts-unrecorded'
  /** The leader gives a new generation places while members of the old one are left. */
  | 'places-before-gone'
  /** The leader leaves the rest of a generation running that lost a member. */
  | 'keeps-the-rest'
  /** A new leader goes on with a generation of which the records lack members. */
  | 'adopts-incomplete'
  /** Records are written on no condition of the term. */
  | 'records-without-term'
  /** Workers carry commands out whatever fencing token they bear. */
  | 'obeys-old-tokens'
  /** The leader takes a silent machine's tasks for gone before its lease is over. */
  | 'trusts-silence'
  /** A member answers although mates have not marked the request. */
  | 'answers-without-mates';
