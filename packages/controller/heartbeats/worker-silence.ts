/** Notices that all workers of a leader fell silent at once. */
import type { FleetState } from '#core';

/** Heartbeat intervals without any heartbeat after which the leader counts as cut off from its workers. */
const SILENT_INTERVALS = 2;
/** A single worker that falls silent says something about its machine only. */
const MIN_WORKERS = 2;
/** A sample that is later than this multiple of the sample interval: this process stood still. */
const LATE_SAMPLE_INTERVALS = 2;

/** The intervals that the silence is measured by, in seconds. */
export interface WorkerSilenceOptions {
  heartbeatIntervalS: number;
  /** From one sample to the next. */
  sampleIntervalS: number;
}

/**
 * Measures for how long no worker of a leader has sent a heartbeat. A network cut may swallow heartbeats
 * without an error: then each worker waits for its answer until the timeout, so for seconds no follower
 * is asked for the leader either, and the rest of the worker leases is too short to find another one.
 */
export class WorkerSilence {
  private sampledAt = -Infinity;
  private silentSince = Infinity;

  constructor(private readonly options: WorkerSilenceOptions) {}

  /**
   * Takes a sample, to be called once in a sample interval while a fleet state is in charge. `now` is
   * steady seconds. True if all workers that had accepted the leader's term have been silent for too
   * long, while this process was awake.
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
