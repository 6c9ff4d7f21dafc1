/** Number of ranks; 0 is the most urgent. */
export const RANKS = 4;
export const LOWEST_RANK = RANKS - 1;
