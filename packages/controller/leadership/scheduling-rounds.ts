import type { Clock } from '#wire';
import { ROUND_DECISIONS } from './core-from-settings.js';
import type { Log } from '../observability/log.js';
import { Pacer } from './pacer.js';

/** Rounds per tick at the most, and the multiple of its own time that a round pauses after. */
const ROUNDS_A_TICK = 5;
const ROUND_REST = 3;

export interface RoundsOptions {
  clock: Clock;
  /** From one round to the next if nothing asks for more. */
  tickMs: number;
  /** One scheduling round; returns the number of decisions. */
  round: () => number;
  /** Told how long each round took. */
  onRound: (ms: number) => void;
  log: Log;
}

/** The scheduling rounds of an owner; the next follows at once if one made as many decisions as it may. */
export function makeRounds({ clock, tickMs, round, onRound, log }: RoundsOptions): Pacer {
  return new Pacer({
    clock,
    periodMs: tickMs,
    minRestMs: tickMs / ROUNDS_A_TICK,
    restRatio: ROUND_REST,
    run: () => {
      const startedAt = clock.now();
      const decided = round();
      onRound((clock.now() - startedAt) * 1000);
      return decided >= ROUND_DECISIONS;
    },
    onError: (err) => {
      log.error(
        { err: err instanceof Error ? err.stack : String(err) },
        'scheduling round failed: the next one comes as usual',
      );
    },
  });
}
