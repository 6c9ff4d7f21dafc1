/** The figures of the owner model; seconds. */
export const STEP_S = 0.25;
export const HEARTBEAT_INTERVAL_S = 1;
export const LEASE_S = 10;
export const CANCEL_S = 35;
/** How long a new owner allows a former one to go on. */
export const FORMER_LEADER_S = 12;
/** From the end of an owner to the claim of the next. */
export const CAMPAIGN_PAUSE_S = 4;
/** How long a worker waits for the answer to a report. */
export const ANSWER_LIFE_S = 4;
/** How long an owner waits for the answer to a direct command. */
export const COMMAND_LIFE_S = 2 * HEARTBEAT_INTERVAL_S;
/** Longest way of a message that is not delayed. */
export const DELAY_S = 0.3;
