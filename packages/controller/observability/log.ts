/** Makes the log of a controller: one JSON object per line. */
import { pino } from 'pino';
import type { Clock } from '#wire';

/** A logger whose methods take the fields of a line and its message. */
export type Log = pino.Logger;

const LEVELS = ['error', 'warn', 'info', 'debug'];

/** File descriptor of standard error. */
const STANDARD_ERROR = 2;

/**
 * Makes a log that writes synchronously. An unknown level counts as `info`; `file` is a file descriptor.
 */
export function makeLog(
  clock: Clock,
  name: string,
  level: string | undefined,
  file: number = STANDARD_ERROR,
): Log {
  const knownLevel = level !== undefined && LEVELS.includes(level) ? level : 'info';
  const timestamp = () => `,"time":"${new Date(clock.wallMs()).toISOString()}"`;
  return pino(
    { level: knownLevel, base: { node: name }, timestamp },
    pino.destination({ dest: file, sync: true }),
  );
}
