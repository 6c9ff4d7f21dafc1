/** Periodically logs a summary of the leader's fleet. */
import type { FleetState } from '#core';
import type { FleetSummary } from '../observability/fleet-summary.js';
import type { Log } from '../observability/log.js';

/** Heartbeat intervals between two summaries. */
const INTERVALS_PER_SUMMARY = 10;

/** Dependencies of the summary log. */
export interface FleetSummaryLogOptions {
  fleet: FleetState;
  heartbeatIntervalS: number;
  summarise: () => FleetSummary;
  log: Log;
}

/** Logs a summary every ten heartbeat intervals. Before each summary, removes ended jobs from the fleet state. */
export class FleetSummaryLog {
  /** When the last summary was logged, in seconds of the monotonic clock. */
  private loggedAt = -Infinity;

  constructor(private readonly options: FleetSummaryLogOptions) {}

  /** Must be called after each scheduling round. `now` is in seconds of the monotonic clock. */
  update(now: number): void {
    const { fleet, heartbeatIntervalS, summarise, log } = this.options;
    if (now - this.loggedAt < INTERVALS_PER_SUMMARY * heartbeatIntervalS) return;
    this.loggedAt = now;
    fleet.jobs.removeEnded();
    log.info(summarise(), 'fleet summarised');
  }
}
