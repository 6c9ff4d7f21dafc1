/** The times of the model of a leader with its workers. */
/** Time from one step of the model to the next; all times are seconds. */
export const STEP_S = 0.25;
/** Time from one heartbeat to the next. */
export const HEARTBEAT_INTERVAL_S = 1;
/** Length of a worker lease. */
export const LEASE_S = 10;
/** After the confirmation of a cancellation, time until all tasks must be gone. */
export const CANCEL_S = 35;
/** How long a new leader allows a former one to go on. */
export const FORMER_LEADER_S = 12;
/** From the end of a leader to the election of the next. */
export const CAMPAIGN_PAUSE_S = 4;
/** How long a worker waits for the answer to a heartbeat. */
export const HEARTBEAT_TIMEOUT_S = 4;
/** How long a leader waits for the answer to a direct command. */
export const COMMAND_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S;
/** Longest way of a message that is not delayed. */
export const MAX_DELAY_S = 0.3;
