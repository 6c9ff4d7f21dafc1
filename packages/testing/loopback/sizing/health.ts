import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { HostPort } from '#wire';
import { WaitTimeoutError } from './wait.js';

/** Interval of the health requests, each of which costs the controller some processor time. */
const POLL_INTERVAL_MS = 20;
const RESPONSE_TIMEOUT_MS = 5000;

/**
 * Resolves once the controller answers that it is healthy, with the time of the answer in milliseconds of the
 * monotonic clock; rejects with WaitTimeoutError.
 */
export async function waitUntilHealthy(
  address: HostPort,
  timeoutS: number,
  name: string,
): Promise<{ atMs: number }> {
  const deadlineMs = performance.now() + timeoutS * 1000;
  while (performance.now() < deadlineMs) {
    if ((await fetchHealthStatus(address)) === 200) return { atMs: performance.now() };
    await sleep(POLL_INTERVAL_MS);
  }
  throw new WaitTimeoutError(`${name}: not healthy within ${timeoutS} s`);
}

/** The HTTP status of /healthz; null if the controller does not answer. */
function fetchHealthStatus({ host, port }: HostPort): Promise<number | null> {
  return new Promise((resolve) => {
    const options = { host, port, path: '/healthz', agent: false, timeout: RESPONSE_TIMEOUT_MS };
    const request = http.get(options, (response) => {
      response.resume();
      resolve(response.statusCode ?? null);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(null));
  });
}
