import type { FleetState } from '#core';

/** Report periods without a report from any worker after which the owner counts as cut from them. */
const SILENT_PERIODS = 2;
/** That a single worker falls silent is a matter of its machine. */
const LEAST_WORKERS = 2;
/** A look that comes later than this multiple of the distance of looks: this process stood still. */
const LATE_SAMPLE = 2;

export interface WorkerSilenceOptions {
  /** Report period of the workers, seconds. */
  heartbeatIntervalS: number;
  /** Distance between two looks, seconds. */
  sampleIntervalS: number;
}

/**
 * Notices that all workers of an owner fell silent at the same moment. A cut may swallow their reports without
 * an error: then each waits for its answer until it gives up, so for seconds no peer is asked for the owner
 * either, and the rest of the leases is too short for the workers to find another one.
 */
export class WorkerSilence {
  private lookedAt = -Infinity;
  private silentSince = Infinity;

  constructor(private readonly options: WorkerSilenceOptions) {}

  /**
   * To be called regularly while a fleet state is in charge. `now` is steady seconds. True if all workers that
   * had accepted its term have been silent for too long, while this process was awake.
   */
  sample(fleet: FleetState, now: number): boolean {
    const { heartbeatIntervalS, sampleIntervalS } = this.options;
    const workers = [...fleet.machines.values()].filter(
      ({ state, termConfirmed }) => state === 'up' && termConfirmed,
    );
    const stoodStill = now - this.lookedAt > LATE_SAMPLE * sampleIntervalS;
    const reachable = workers.some(({ answeredAt }) => answeredAt >= this.lookedAt);
    if (stoodStill || reachable) this.silentSince = now;
    this.lookedAt = now;
    return (
      workers.length >= LEAST_WORKERS &&
      now - this.silentSince >= SILENT_PERIODS * heartbeatIntervalS
    );
  }
}
