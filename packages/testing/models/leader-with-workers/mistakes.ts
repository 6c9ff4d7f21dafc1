/** The seeded mistakes of the model of a leader with its workers, and what its checks find. */
/** One deliberate seeded fault, to show that the checks can fail. */
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

/** What the model found wrong; the names are those of the protocol's rules where there is one. */
export type LeaderViolation =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'unrecorded'
  | 'not_done'
  | 'nothing_ran';
