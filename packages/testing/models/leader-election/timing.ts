/** Timing parameters of the leader election model; seconds. */
import { leaderGraceS } from '#controller';

/** Time from one heartbeat to the next. */
export const HEARTBEAT_INTERVAL_S = 1;
/** Length of a worker lease. */
export const LEASE_S = 10;
/** Time from the confirmation of a cancellation until all tasks of the job must have ended. */
export const CANCEL_S = 35;
/** Time between two steps of the model. */
export const STEP_S = HEARTBEAT_INTERVAL_S / 4;
/** Length of the election lease. */
export const ELECTION_LEASE_S = LEASE_S / 4;
/** A peer that has sent no status for this long counts as silent. */
export const SILENCE_S = 2 * HEARTBEAT_INTERVAL_S;
/** How long a leader may act after it has lost the state service. */
export const GRACE_S = leaderGraceS(CANCEL_S, LEASE_S, HEARTBEAT_INTERVAL_S);
/** How long a new leader waits for a former one to stop acting. */
export const FORMER_LEADER_S = GRACE_S + 2 * HEARTBEAT_INTERVAL_S;
