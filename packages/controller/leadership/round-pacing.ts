/** Determines when the scheduling rounds of a leader run. */
import type { Clock } from '#wire';
import type { Log } from '../observability/log.js';
import type { PlatformSettings } from '../settings/platform-settings.js';
import { MAX_DECISIONS_PER_ROUND } from './core-from-settings.js';
import { Pacer } from './pacer.js';

/** Scheduling rounds per heartbeat interval if none is requested. */
const ROUNDS_PER_HEARTBEAT = 4;
/** Maximum scheduling rounds in the interval between two periodic rounds, requested ones included. */
const MAX_ROUNDS_PER_INTERVAL = 5;
/** Rest after a round, as a multiple of the duration of that round. */
const REST_RATIO = 3;

/** The scheduling round to run, its interval and its callbacks. */
export interface SchedulingRoundsOptions {
  clock: Clock;
  /** Time between two periodic rounds, in milliseconds. */
  intervalMs: number;
  /** Runs one scheduling round and returns the number of decisions. */
  round: () => number;
  /** Called after each round with its duration in milliseconds. */
  onRound: (ms: number) => void;
  log: Log;
}

/** Time between two periodic rounds, in milliseconds. */
export function roundIntervalMs({ deployment }: PlatformSettings): number {
  return (deployment.workers.report_s * 1000) / ROUNDS_PER_HEARTBEAT;
}

/**
 * Creates the pacer of a leader's scheduling rounds. A round that made the maximum number of decisions is followed by
 * the next one immediately. An error in a round is logged and does not affect later rounds.
 */
export function makeSchedulingRounds(options: SchedulingRoundsOptions): Pacer {
  const { clock, intervalMs, round, onRound, log } = options;
  return new Pacer({
    clock,
    periodMs: intervalMs,
    minRestMs: intervalMs / MAX_ROUNDS_PER_INTERVAL,
    restRatio: REST_RATIO,
    run: () => {
      const startedAt = clock.now();
      const decisions = round();
      onRound((clock.now() - startedAt) * 1000);
      return decisions >= MAX_DECISIONS_PER_ROUND;
    },
    onError: (err) => {
      const text = err instanceof Error ? err.stack : String(err);
      log.error({ err: text }, 'scheduling round failed: the next one comes as usual');
    },
  });
}
