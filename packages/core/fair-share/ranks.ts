/** The ranks that users give to their jobs. */

/** Number of ranks; 0 is the most urgent. */
export const RANKS = 4;

/** The least urgent rank. */
export const LOWEST_RANK = RANKS - 1;
