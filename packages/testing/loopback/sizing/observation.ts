import type { LoopbackCluster } from './cluster.js';
import type { ControllerProcess } from './controller-process.js';
import type { ProcessLog } from './process-log.js';
import type { ProcessorTime } from './process-use.js';

/** What one controller did and used over a span of time; rates are a second. */
export interface ObservedUsage {
  seconds: number;
  cores: number;
  /** The part of `cores` that the kernel did not use for it, and that of the program's own thread. */
  userCores: number;
  mainThreadCores: number;
  /** Reports answered as the owner, and turned away, as their workers saw it. */
  answeredHeartbeats: number;
  notRenewedHeartbeats: number;
  stateRequests: number;
  /** Resident memory at the end, and its peak; MB. */
  residentMb: number;
  peakMb: number;
  /** Averages of the controller's own lines of process statistics; empty if it logged none meanwhile. */
  processStatistics: Record<string, number>;
}

/** Totals since the start of a controller. */
interface Totals {
  atMs: number;
  processor: ProcessorTime;
  answeredHeartbeats: number;
  notRenewedHeartbeats: number;
  stateRequests: number;
}

/** Watches one controller from now on. */
export class Observation {
  private readonly before: Totals;

  constructor(
    private readonly cluster: LoopbackCluster,
    readonly controller: ControllerProcess,
  ) {
    controller.resetPeakMemory();
    this.before = this.totals();
  }

  /** What happened since it was made. */
  end(): ObservedUsage {
    const { before, controller } = this;
    const after = this.totals();
    const seconds = (after.atMs - before.atMs) / 1000;
    const rate = (total: (totals: Totals) => number) => (total(after) - total(before)) / seconds;
    const { nowMb, peakMb } = controller.memory();
    return {
      seconds,
      cores: rate(({ processor }) => processor.totalS),
      userCores: rate(({ processor }) => processor.userS),
      mainThreadCores: rate(({ processor }) => processor.mainThreadS),
      answeredHeartbeats: rate(({ answeredHeartbeats }) => answeredHeartbeats),
      notRenewedHeartbeats: rate(({ notRenewedHeartbeats }) => notRenewedHeartbeats),
      stateRequests: rate(({ stateRequests }) => stateRequests),
      residentMb: nowMb,
      peakMb,
      processStatistics: averageStatistics(controller.run.log, before.atMs),
    };
  }

  private totals(): Totals {
    const { cluster, controller } = this;
    const { heartbeats } = cluster;
    return {
      atMs: performance.now(),
      processor: controller.processor(),
      answeredHeartbeats: heartbeats.answered.get(controller.name) ?? 0,
      notRenewedHeartbeats: heartbeats.notRenewed.get(controller.name) ?? 0,
      stateRequests: cluster.stateRequestsOf(controller),
    };
  }
}

/** The line of process statistics; the sources that are measured may be older than its present name. */
const STATISTICS_MESSAGES = ['process statistics sampled', 'vitals'];

/** Mean of each number in the lines of process statistics since then. */
function averageStatistics(log: ProcessLog, sinceMs: number): Record<string, number> {
  const lines = STATISTICS_MESSAGES.flatMap((message) => log.since(message, sinceMs));
  const names = Object.keys(lines[0] ?? {}).filter((name) => typeof lines[0][name] === 'number');
  const sum = (name: string) => lines.reduce((total, line) => total + (line[name] as number), 0);
  return Object.fromEntries(names.map((name) => [name, sum(name) / lines.length]));
}
