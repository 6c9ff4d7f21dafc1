/** Refusals of the state service because all controllers together asked for too much. */
import { StateRefused } from '#wire';

/** HTTP status of such a refusal: Too Many Requests. */
const TOO_MANY_REQUESTS = 429;

/** The error of a request that was refused for the rate; nothing was done. */
export function rateRefusal(): StateRefused {
  return new StateRefused(TOO_MANY_REQUESTS);
}

/** Whether an error says that the service refused a request for the rate. */
export function isRefusedForRate(error: unknown): error is StateRefused {
  return error instanceof StateRefused && error.status === TOO_MANY_REQUESTS;
}
