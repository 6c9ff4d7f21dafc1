/** The logs of simulated controllers. */
import { pino } from 'pino';
import type { World } from './world.js';

/** One line of a controller's log. */
export interface LogEntry {
  /** Simulated seconds. */
  atS: number;
  /** pino's number: 20 debug, 30 info, 50 error. */
  level: number;
  msg: string;
  [field: string]: unknown;
}

/** The log of one controller over all its incarnations, in memory. */
export class ControllerLog {
  private readonly lines: { atS: number; text: string }[] = [];

  constructor(
    private readonly world: World,
    private readonly level: 'error' | 'info' | 'debug',
    private readonly onLine: (text: string) => void = () => undefined,
  ) {}

  /** A logger that writes here. */
  logger(): pino.Logger {
    const write = (text: string) => {
      this.lines.push({ atS: this.world.now, text });
      this.onLine(text);
    };
    return pino({ level: this.level, base: undefined, timestamp: false }, { write });
  }

  /** The entries with this message, or all. */
  entries(msg?: string): LogEntry[] {
    const msgField = msg === undefined ? '' : `"msg":${JSON.stringify(msg)}`;
    return this.lines
      .filter((line) => line.text.includes(msgField))
      .map((line) => ({ ...(JSON.parse(line.text) as LogEntry), atS: line.atS }));
  }
}
