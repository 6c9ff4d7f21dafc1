/** A deliberate mistake, each of which takes one guard of replica groups away. */
export type ReplicaMistake =
  | 'none'
  /** The owner sends starts whose records are not durable. */
  | 'starts-unrecorded'
  /** The owner gives a new generation places while members of the old one are left. */
  | 'places-before-gone'
  /** The owner leaves the rest of a generation running that lost a member. */
  | 'keeps-the-rest'
  /** A new owner goes on with a generation of which the records lack members. */
  | 'adopts-incomplete'
  /** Records are written on no condition of the term. */
  | 'records-without-term'
  /** Workers carry commands out whatever token they bear. */
  | 'obeys-old-tokens'
  /** The owner takes a silent machine's tasks for gone before its lease is over. */
  | 'trusts-silence'
  /** A member answers although mates have not marked the request. */
  | 'answers-without-mates';
