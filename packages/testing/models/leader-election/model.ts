/** The seeded faults of the leader election model, and the result of a run. */
/** A fault that is seeded into the model to show that its checks detect it. */
export type SeededLeadershipFault =
  | 'none'
  | 'trusts-arrival-time'
  | 'trusts-restarted-peer'
  | 'ignores-peer-cancellations'
  | 'renews-for-live-leader';

/** An invariant that was violated. */
export type LeadershipViolation =
  'acts-beside-successor' | 'acts-on-unknown-cancellation' | 'renews-beside-leader';

/** Result of one run of the model. */
export interface LeadershipRun {
  violations: Set<LeadershipViolation>;
  /** Number of steps in which a leader acted on the attestations of its peers alone. */
  attestedSteps: number;
  /** Number of steps in which a node renewed leases for a leader that had ended. */
  standbySteps: number;
}
