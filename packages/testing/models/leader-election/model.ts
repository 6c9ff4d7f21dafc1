/** The seeded mistakes of the model of leader election, and what a run returns. */
/** One deliberate mistake, to show that the checks can fail. */
export type LeadershipMistake =
  'none' | 'trusts-arrival' | 'trusts-restarted' | 'ignores-cancelled' | 'renews-for-the-living';

/** What the model found wrong. */
export type LeadershipViolation =
  'acts-beside-successor' | 'acts-on-unknown-cancellation' | 'renews-beside-owner';

/** What came of one run of the model. */
export interface LeadershipRun {
  violations: Set<LeadershipViolation>;
  /** Steps in which a leader went on by the statements of its peers alone. */
  attestedSteps: number;
  /** Steps in which a node renewed leases for a leader that had ended. */
  standbySteps: number;
}
