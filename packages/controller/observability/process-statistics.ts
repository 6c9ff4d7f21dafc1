import { Clock, pause } from '#wire';

/** Report periods between two looks. */
const SAMPLE_INTERVALS = 10;

export interface ProcessStatisticsOptions {
  clock: Clock;
  heartbeatIntervalS: number;
  /** What others count since the start. */
  counted: () => Record<string, number>;
  /** Connections of workers and users that are open now. */
  connections: () => number;
  /** Told of each look. */
  onSample: (sample: Record<string, number>) => void;
}

/** What one controller did and holds, counted where it happens; for its log and for operators. */
export class ProcessStatistics {
  heartbeats = 0;
  questions = 0;
  peerFrames = 0;
  rounds = 0;
  roundMs = 0;
  private sampledAt: number;
  private cpu = process.cpuUsage();
  private last: Record<string, number> = {};

  constructor(private readonly options: ProcessStatisticsOptions) {
    this.sampledAt = options.clock.now();
  }

  /** Looks once in a while until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, heartbeatIntervalS, onSample } = this.options;
    while (!signal.aborted) {
      await pause(clock, SAMPLE_INTERVALS * heartbeatIntervalS * 1000, signal);
      onSample(this.sample());
    }
  }

  /** Totals since the start. */
  totals(): Record<string, number> {
    const { heartbeats, questions, peerFrames, rounds, roundMs } = this;
    return {
      reports: heartbeats,
      questions,
      peerFrames,
      rounds,
      roundMs,
      ...this.options.counted(),
    };
  }

  /** What the process holds now. */
  held(): Record<string, number> {
    const { heapUsed, rss } = process.memoryUsage();
    return { connections: this.options.connections(), heapMb: mb(heapUsed), sizeMb: mb(rss) };
  }

  /** Rates since the last call, and what is held now. */
  sample(): Record<string, number> {
    const now = this.options.clock.now();
    const seconds = Math.max(1e-3, now - this.sampledAt);
    const used = process.cpuUsage(this.cpu);
    const totals = this.totals();
    const out: Record<string, number> = {
      cores: round((used.user + used.system) / 1e6 / seconds),
    };
    for (const [name, total] of Object.entries(totals)) {
      out[`${name}PerS`] = round((total - (this.last[name] ?? 0)) / seconds);
    }
    this.sampledAt = now;
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
