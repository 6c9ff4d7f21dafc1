import { pino } from 'pino';
import type { Clock } from '#wire';

export type Log = pino.Logger;

const LEVELS = ['error', 'warn', 'info', 'debug'];

/** Synchronous, to standard error, at LOG_LEVEL (error, info, debug). */
export function makeLog(clock: Clock, name: string, level: string | undefined): Log {
  const known = level !== undefined && LEVELS.includes(level) ? level : 'info';
  const timestamp = () => `,"time":"${new Date(clock.wallMs()).toISOString()}"`;
  return pino(
    { level: known, base: { node: name }, timestamp },
    pino.destination({ dest: 2, sync: true }),
  );
}
