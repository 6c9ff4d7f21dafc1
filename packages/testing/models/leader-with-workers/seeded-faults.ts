/** The seeded faults of the model of a leader with its workers, and the violations that its checks find. */
/** A fault that is seeded into the model to show that its checks detect it. */
export type SeededLeaderFault =
  | 'none'
  | 'short-lease'
  | 'skips-former-leader-wait'
  | 'starts-before-record'
  | 'ignores-quota'
  | 'ignores-zones'
  | 'ignores-cancellations'
  | 'completes-early'
  | 'accepts-repeated-heartbeats'
  | 'forgets-unacknowledged-starts'
  | 'trusts-answered-starts'
  | 'keeps-lease-after-freeze';

/** An invariant that was violated, named like the rule of the protocol where there is one. */
export type LeaderViolation =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'unrecorded'
  | 'not_done'
  | 'nothing_ran';
