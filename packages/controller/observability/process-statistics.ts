/** Statistics of one controller process: counts of its work, connections, memory and processor time. */
import { type Clock, pause } from '#wire';

/** Shortest time over which rates are computed, in seconds. */
const MIN_SAMPLE_S = 1e-3;
/** Time between two samples, in heartbeat intervals. */
const SAMPLE_INTERVAL_HEARTBEATS = 10;

/** Sources of the statistics and the receiver of the samples. */
export interface ProcessStatisticsOptions {
  clock: Clock;
  heartbeatIntervalS: number;
  /** Totals since the start that other components count. */
  counted: () => Record<string, number>;
  /** Number of connections of workers and users that are open now. */
  connections: () => number;
  /** Called with each sample. */
  onSample: (sample: Record<string, number>) => void;
}

/** Counters that the components of one controller increment, for its log and for `/metrics`. */
export class ProcessStatistics {
  /** Heartbeats of workers, whatever the answer was. */
  heartbeats = 0;
  userRequests = 0;
  peerFrames = 0;
  /** Scheduling rounds. `roundMs` is the total time that they took. */
  rounds = 0;
  roundMs = 0;
  private sampledAt: number;
  private cpuAtSample = process.cpuUsage();
  private totalsAtSample: Record<string, number> = {};

  constructor(private readonly options: ProcessStatisticsOptions) {
    this.sampledAt = options.clock.now();
  }

  /** Takes a sample at regular intervals until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, heartbeatIntervalS, onSample } = this.options;
    while (!signal.aborted) {
      await pause(clock, SAMPLE_INTERVAL_HEARTBEATS * heartbeatIntervalS * 1000, signal);
      onSample(this.sample());
    }
  }

  /** Totals since the start. */
  totals(): Record<string, number> {
    const { heartbeats, userRequests, peerFrames, rounds, roundMs } = this;
    return {
      heartbeats,
      userRequests,
      peerFrames,
      rounds,
      roundMs,
      ...this.options.counted(),
    };
  }

  /** Open connections, and memory in MiB, of the process now. */
  resourceUsage(): Record<string, number> {
    const { heapUsed, rss } = process.memoryUsage();
    return {
      connections: this.options.connections(),
      heapMb: mebibytes(heapUsed),
      sizeMb: mebibytes(rss),
    };
  }

  /** Rates since the last call, and the present resource usage. `cores` is processor time per second. */
  sample(): Record<string, number> {
    const now = this.options.clock.now();
    const seconds = Math.max(MIN_SAMPLE_S, now - this.sampledAt);
    const used = process.cpuUsage(this.cpuAtSample);
    const totals = this.totals();
    const sample: Record<string, number> = {
      cores: round((used.user + used.system) / 1e6 / seconds),
    };
    for (const [name, total] of Object.entries(totals)) {
      sample[`${name}PerS`] = round((total - (this.totalsAtSample[name] ?? 0)) / seconds);
    }
    this.sampledAt = now;
    this.cpuAtSample = process.cpuUsage();
    this.totalsAtSample = totals;
    return { ...sample, ...this.resourceUsage() };
  }
}

function mebibytes(bytes: number): number {
  return round(bytes / 2 ** 20);
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
