import type { Readable } from 'node:stream';
import { createInterface } from 'node:readline';

/** One line of a controller's log; `receivedAtMs` is of this process's steady clock. */
export interface LogLine {
  receivedAtMs: number;
  msg: string;
  [field: string]: unknown;
}

/** What one run of a controller has logged, and what else it wrote to standard error. */
export class ProcessLog {
  readonly lines: LogLine[] = [];
  /** What was no log line, such as the last words of a process that could not run. */
  readonly otherOutput: string[] = [];

  constructor(stream: Readable) {
    createInterface({ input: stream }).on('line', (text) => this.addLine(text));
  }

  /** The lines with that message that came from that moment on. */
  since(msg: string, fromMs = 0): LogLine[] {
    return this.lines.filter((line) => line.msg === msg && line.receivedAtMs >= fromMs);
  }

  private addLine(text: string): void {
    const receivedAtMs = performance.now();
    try {
      this.lines.push({ ...(JSON.parse(text) as { msg: string }), receivedAtMs });
    } catch {
      this.otherOutput.push(text);
    }
  }
}
