import { pino } from 'pino';

export type Log = pino.Logger;

const LEVELS = ['error', 'warn', 'info', 'debug'];

/** Synchronous, to standard error, at LOG_LEVEL (error, info, debug). */
export function makeLog(name: string, level: string | undefined): Log {
  const known = level !== undefined && LEVELS.includes(level) ? level : 'info';
  return pino(
    { level: known, base: { node: name }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}
