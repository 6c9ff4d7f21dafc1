/** Detects that all workers of a leader have stopped sending heartbeats at once. */
import type { FleetState } from '#core';

/** Heartbeat intervals without any heartbeat after which the leader counts as isolated from its workers. */
const SILENT_INTERVALS = 2;
/** Minimum number of workers: the silence of a single worker may be a failure of its machine alone. */
const MIN_WORKERS = 2;
/** Sample intervals between two samples above which this process counts as having been suspended. */
const LATE_SAMPLE_INTERVALS = 2;

/** Intervals for the measurement of silence, in seconds. */
export interface WorkerSilenceOptions {
  heartbeatIntervalS: number;
  /** Interval between two samples. */
  sampleIntervalS: number;
}

/**
 * Measures for how long no worker of a leader has sent a heartbeat. A network partition may drop heartbeats
 * without an error. Each worker then waits for its answer until the timeout, so for seconds no worker asks a
 * follower for the leader either, and the rest of the worker leases is too short to find another leader.
 */
export class WorkerSilence {
  private sampledAt = -Infinity;
  private silentSince = Infinity;

  constructor(private readonly options: WorkerSilenceOptions) {}

  /**
   * Takes a sample; to be called once per sample interval while a leader runs in this process. Returns true if
   * all workers that had accepted the leader's term have been silent for too long, while this process was not
   * suspended. `now` is in seconds of the monotonic clock.
   */
  sample(fleet: FleetState, now: number): boolean {
    const { heartbeatIntervalS, sampleIntervalS } = this.options;
    const workers = [...fleet.machines.values()].filter(
      ({ state, termConfirmed }) => state === 'up' && termConfirmed,
    );
    const wasSuspended = now - this.sampledAt > LATE_SAMPLE_INTERVALS * sampleIntervalS;
    const isAnyReachable = workers.some(({ answeredAt }) => answeredAt >= this.sampledAt);
    if (wasSuspended || isAnyReachable) this.silentSince = now;
    this.sampledAt = now;
    return (
      workers.length >= MIN_WORKERS &&
      now - this.silentSince >= SILENT_INTERVALS * heartbeatIntervalS
    );
  }
}
