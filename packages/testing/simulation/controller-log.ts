/** Logs of simulated controllers. */
import { pino } from 'pino';
import type { World } from './world.js';

/** One parsed line of a controller's log. */
export interface LogEntry {
  /** Simulated seconds. */
  atS: number;
  /** Numeric level of pino: 20 debug, 30 info, 50 error. */
  level: number;
  msg: string;
  [field: string]: unknown;
}

/** In-memory log of one controller over all its incarnations. */
export class ControllerLog {
  private readonly lines: { atS: number; text: string }[] = [];

  constructor(
    private readonly world: World,
    private readonly level: 'error' | 'info' | 'debug',
    private readonly onLine: (text: string) => void = () => undefined,
  ) {}

  /** Makes a logger that writes to this log. */
  logger(): pino.Logger {
    const write = (text: string) => {
      this.lines.push({ atS: this.world.now, text });
      this.onLine(text);
    };
    return pino({ level: this.level, base: undefined, timestamp: false }, { write });
  }

  /** Entries with this message; all entries if no message is given. */
  entries(msg?: string): LogEntry[] {
    const msgField = msg === undefined ? '' : `"msg":${JSON.stringify(msg)}`;
    return this.lines
      .filter((line) => line.text.includes(msgField))
      .map((line) => ({ ...(JSON.parse(line.text) as LogEntry), atS: line.atS }));
  }
}
