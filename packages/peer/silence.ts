import { type Clock, every, type Timer } from '#wire';

/** Retry periods without a word from a peer after which its connection is given up. */
const SILENT_PERIODS = 16;

export interface SilenceOptions {
  clock: Clock;
  retryMs: number;
  /** When the peer was last heard; steady seconds. */
  lastReceivedAt: () => number;
  act: () => void;
}

/** Acts once nothing was heard for long: a cut leaves connections open without an error. */
export function onSilence({ clock, retryMs, lastReceivedAt, act }: SilenceOptions): Timer {
  return every(clock, retryMs, () => {
    if ((clock.now() - lastReceivedAt()) * 1000 > SILENT_PERIODS * retryMs) act();
  });
}
