/** Logs now and then what the fleet of a leader looks like. */
import type { FleetState } from '#core';
import type { FleetSummary } from '../observability/fleet-summary.js';
import type { Log } from '../observability/log.js';

/** Heartbeat intervals from one summary to the next. */
const INTERVALS_PER_SUMMARY = 10;

/** What the summary of a fleet is logged from. */
export interface FleetSummaryLogOptions {
  fleet: FleetState;
  heartbeatIntervalS: number;
  summarise: () => FleetSummary;
  log: Log;
}

/** Logs a summary every ten heartbeat intervals, and drops ended jobs from the fleet state first. */
export class FleetSummaryLog {
  /** When the last summary was logged; steady seconds. */
  private loggedAt = -Infinity;

  constructor(private readonly options: FleetSummaryLogOptions) {}

  /** To be called after each scheduling round; `now` in steady seconds. */
  update(now: number): void {
    const { fleet, heartbeatIntervalS, summarise, log } = this.options;
    if (now - this.loggedAt < INTERVALS_PER_SUMMARY * heartbeatIntervalS) return;
    this.loggedAt = now;
    fleet.jobs.removeEnded();
    log.info(summarise(), 'fleet summarised');
  }
}
