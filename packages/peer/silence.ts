/** Detects connections on which nothing has been received for a long time. */
import { type Clock, every, type Timer } from '#wire';

/** Retry periods without a byte from a peer after which the peer's connection counts as silent. */
const MAX_SILENT_PERIODS = 16;

/** Options of `detectSilence`. */
export interface SilenceOptions {
  clock: Clock;
  /** Milliseconds between two attempts to connect to a peer. */
  retryMs: number;
  /** When data of the peer last arrived, in seconds of the monotonic clock. */
  lastReceivedAt: () => number;
  /** Called in each retry period while the silence lasts. */
  onSilent: () => void;
}

/**
 * Calls `onSilent` in each retry period while nothing has been received for a long time, until the timer is
 * cancelled. A network partition leaves connections open without an error.
 */
export function detectSilence({ clock, retryMs, lastReceivedAt, onSilent }: SilenceOptions): Timer {
  return every(clock, retryMs, () => {
    if ((clock.now() - lastReceivedAt()) * 1000 > MAX_SILENT_PERIODS * retryMs) onSilent();
  });
}
