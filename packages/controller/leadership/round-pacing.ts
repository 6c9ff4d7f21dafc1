/** Paces the scheduling rounds of a leader. */
import type { Clock } from '#wire';
import type { Log } from '../observability/log.js';
import type { PlatformSettings } from '../settings/platform-settings.js';
import { MAX_DECISIONS_PER_ROUND } from './core-from-settings.js';
import { Pacer } from './pacer.js';

/** Rounds in a heartbeat interval if nothing asks for more. */
const ROUNDS_PER_HEARTBEAT = 4;
/** Most rounds in the interval between two rounds that nothing asked for. */
const MAX_ROUNDS_PER_INTERVAL = 5;
/** Rest after a round, as a multiple of the round's own length. */
const REST_RATIO = 3;

/** What the rounds of a leader are paced by, and what they run. */
export interface SchedulingRoundsOptions {
  clock: Clock;
  /** From one round to the next if nothing asks for more, in milliseconds. */
  intervalMs: number;
  /** One scheduling round; returns the number of decisions. */
  round: () => number;
  /** Told how long each round took, in milliseconds. */
  onRound: (ms: number) => void;
  log: Log;
}

/** From one round to the next if nothing asks for more, in milliseconds. */
export function roundIntervalMs({ deployment }: PlatformSettings): number {
  return (deployment.workers.report_s * 1000) / ROUNDS_PER_HEARTBEAT;
}

/**
 * The scheduling rounds of a leader; the next follows at once if one made as many decisions as it may. An
 * error of a round is logged, and the next one comes as usual.
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
