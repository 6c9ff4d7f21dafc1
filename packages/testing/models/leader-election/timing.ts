import { graceAfterLoss } from '#controller';

/** The figures of the ownership model; seconds. */
export const HEARTBEAT_INTERVAL_S = 1;
export const LEASE_S = 10;
export const CANCEL_S = 35;
export const STEP_S = HEARTBEAT_INTERVAL_S / 4;
export const ELECTION_LEASE_S = LEASE_S / 4;
export const SILENCE_S = 2 * HEARTBEAT_INTERVAL_S;
export const GRACE_S = graceAfterLoss(CANCEL_S, LEASE_S, HEARTBEAT_INTERVAL_S);
/** How long a new owner allows a former one to go on. */
export const FORMER_LEADER_S = GRACE_S + 2 * HEARTBEAT_INTERVAL_S;
