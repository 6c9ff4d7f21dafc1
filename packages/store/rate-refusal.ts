/** Rate limiting by the state service: all controllers together exceeded its rate limit. */
import { StateRefused } from '#wire';

/** HTTP status of a rate-limited request. */
const TOO_MANY_REQUESTS = 429;

/** The error of a request that was rate-limited and had no effect. */
export function rateRefusal(): StateRefused {
  return new StateRefused(TOO_MANY_REQUESTS);
}

/** Whether an error means that the service rate-limited the request. */
export function isRefusedForRate(error: unknown): error is StateRefused {
  return error instanceof StateRefused && error.status === TOO_MANY_REQUESTS;
}
