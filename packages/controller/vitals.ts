import type { Clock } from '#wire';

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

  constructor(
    private readonly clock: Clock,
    /** What others count since the start. */
    private readonly counted: () => Record<string, number>,
    /** Connections of workers and users that are open now. */
    private readonly connections: () => number,
  ) {
    this.lookedAt = clock.now();
  }

  /** Totals since the start. */
  totals(): Record<string, number> {
    const { reports, questions, peerFrames, rounds, roundMs } = this;
    return { reports, questions, peerFrames, rounds, roundMs, ...this.counted() };
  }

  /** What the process holds now. */
  held(): Record<string, number> {
    const { heapUsed, rss } = process.memoryUsage();
    return { connections: this.connections(), heapMb: mb(heapUsed), sizeMb: mb(rss) };
  }

  /** Rates since the last call, and what is held now. */
  look(): Record<string, number> {
    const now = this.clock.now();
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

function round(n: number): number {
  return Math.round(n * 1000) / 1000;
}
