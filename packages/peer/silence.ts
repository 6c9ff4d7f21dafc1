/** Gives up connections on which nothing was received for long. */
import { type Clock, every, type Timer } from '#wire';

/** Retry periods without a byte from a peer after which its connection is given up. */
const MAX_SILENT_PERIODS = 16;

/** Whose silence counts, and what follows. */
export interface SilenceOptions {
  clock: Clock;
  /** Time between two attempts to reach a peer. */
  retryMs: number;
  /** When the peer was last received from; steady seconds. */
  lastReceivedAt: () => number;
  /** Called in each retry period while the silence lasts. */
  onSilent: () => void;
}

/**
 * Acts while nothing was received for long, until it is cancelled: a network partition leaves connections
 * open without an error.
 */
export function detectSilence({ clock, retryMs, lastReceivedAt, onSilent }: SilenceOptions): Timer {
  return every(clock, retryMs, () => {
    if ((clock.now() - lastReceivedAt()) * 1000 > MAX_SILENT_PERIODS * retryMs) onSilent();
  });
}
