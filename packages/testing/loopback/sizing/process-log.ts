import type { Readable } from 'node:stream';
import { createInterface } from 'node:readline';

/** One line of a controller's log; `receivedAtMs` is on the measuring process's monotonic clock. */
export interface LogLine {
  receivedAtMs: number;
  msg: string;
  [field: string]: unknown;
}

/** What one run of a controller wrote to standard error: its log lines and any other output. */
export class ProcessLog {
  readonly lines: LogLine[] = [];
  /** Output that is not a log line, such as the error of a process that could not start. */
  readonly otherOutput: string[] = [];

  constructor(stream: Readable) {
    createInterface({ input: stream }).on('line', (text) => this.addLine(text));
  }

  /** The lines with this message that arrived at `fromMs` of the monotonic clock or later. */
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
