/** The seeded faults of the model of a leader with its workers, and the violations that its checks find. */
/** A fault that is seeded into the model to show that its checks detect it. */
export type LeaderMistake =
  | 'none'
  | 'short-lease'
  | 'trusts-former-owner'
  | 'order-before-record'
  | 'no-limit'
  | 'any-zone'
  | 'deaf-to-aborts'
  | 'done-early'
  | 'believes-old-copies'
  | 'forgets-late-starts'
  | 'wakes-entitled';

/** An invariant that was violated, named like the rule of the protocol where there is one. */
export type LeaderViolation =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'unrecorded'
  | 'not_done'
  | 'nothing_ran';
