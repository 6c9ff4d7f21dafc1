/** The users count a start only if no command stops the task for so long, in seconds. */
export const START_WINDOW_S = 30;
