/** Timing parameters of the model of a leader with its workers; seconds. */
/** Time between two steps of the model. */
export const STEP_S = 0.25;
/** Time from one heartbeat to the next. */
export const HEARTBEAT_INTERVAL_S = 1;
/** Length of a worker lease. */
export const LEASE_S = 10;
/** Time from the confirmation of a cancellation until all tasks of the job must have ended. */
export const CANCEL_S = 35;
/** How long a new leader waits for a former one to stop acting. */
export const FORMER_LEADER_S = 12;
/** Time from the loss of a leader to the election of the next. */
export const CAMPAIGN_PAUSE_S = 4;
/** How long a worker waits for the answer to a heartbeat. */
export const HEARTBEAT_TIMEOUT_S = 4;
/** How long a leader waits for the answer to a direct command. */
export const COMMAND_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S;
/** Longest time in flight of a message that is not late. */
export const MAX_DELAY_S = 0.3;
