import { Clock, pause } from '#wire';

/** Report periods between two looks. */
const LOOK_PERIODS = 10;

export interface VitalsOptions {
  clock: Clock;
  reportS: number;
  /** What others count since the start. */
  counted: () => Record<string, number>;
  /** Connections of workers and users that are open now. */
  connections: () => number;
  /** Told of each look. */
  onLook: (look: Record<string, number>) => void;
}

/** What one controller did and holds, counted where it happens; for its log and for operators. */
export class Vitals {
  reports = 0;
  questions = 0;
  peerFrames = 0;
  rounds = 0;
  roundMs = 0;
  private lookedAt: number;
  private cpu = process.cpuUsage();
  private last: Record<string, number> = {};

  constructor(private readonly options: VitalsOptions) {
    this.lookedAt = options.clock.now();
  }

  /** Looks once in a while until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, reportS, onLook } = this.options;
    while (!signal.aborted) {
      await pause(clock, LOOK_PERIODS * reportS * 1000, signal);
      onLook(this.look());
    }
  }

  /** Totals since the start. */
  totals(): Record<string, number> {
    const { reports, questions, peerFrames, rounds, roundMs } = this;
    return { reports, questions, peerFrames, rounds, roundMs, ...this.options.counted() };
  }

  /** What the process holds now. */
  held(): Record<string, number> {
    const { heapUsed, rss } = process.memoryUsage();
    return { connections: this.options.connections(), heapMb: mb(heapUsed), sizeMb: mb(rss) };
  }

  /** Rates since the last call, and what is held now. */
  look(): Record<string, number> {
    const now = this.options.clock.now();
    const seconds = Math.max(1e-3, now - this.lookedAt);
    const used = process.cpuUsage(this.cpu);
    const totals = this.totals();
    const out: Record<string, number> = {
      cores: round((used.user + used.system) / 1e6 / seconds),
    };
    for (const [name, total] of Object.entries(totals)) {
      out[`${name}PerS`] = round((total - (this.last[name] ?? 0)) / seconds);
    }
    this.lookedAt = now;
    this.cpu = process.cpuUsage();
    this.last = totals;
    return { ...out, ...this.held() };
  }
}

function mb(bytes: number): number {
  return round(bytes / 2 ** 20);
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
