import { pino } from 'pino';
import type { Clock } from '#wire';

export type Log = pino.Logger;

const LEVELS = ['error', 'warn', 'info', 'debug'];

/** File descriptor of standard error. */
const STANDARD_ERROR = 2;

/** Synchronous, to standard error unless another file is given, at LOG_LEVEL (error, info, debug). */
export function makeLog(
  clock: Clock,
  name: string,
  level: string | undefined,
  file: number = STANDARD_ERROR,
): Log {
  const known = level !== undefined && LEVELS.includes(level) ? level : 'info';
  const timestamp = () => `,"time":"${new Date(clock.wallMs()).toISOString()}"`;
  return pino(
    { level: known, base: { node: name }, timestamp },
    pino.destination({ dest: file, sync: true }),
  );
}
