/** The times of the model of leader election. */
import { leaderGraceS } from '#controller';

/** The figures of the leader election model; seconds. */
export const HEARTBEAT_INTERVAL_S = 1;
/** Length of a worker lease. */
export const LEASE_S = 10;
/** After the confirmation of a cancellation, time until all tasks must be gone. */
export const CANCEL_S = 35;
/** Time from one step of the model to the next. */
export const STEP_S = HEARTBEAT_INTERVAL_S / 4;
/** Length of the election lease. */
export const ELECTION_LEASE_S = LEASE_S / 4;
/** A peer that has sent no statement for this long counts as silent. */
export const SILENCE_S = 2 * HEARTBEAT_INTERVAL_S;
/** For how long a leader may act after it has lost the state service. */
export const GRACE_S = leaderGraceS(CANCEL_S, LEASE_S, HEARTBEAT_INTERVAL_S);
/** How long a new leader allows a former one to go on. */
export const FORMER_LEADER_S = GRACE_S + 2 * HEARTBEAT_INTERVAL_S;
