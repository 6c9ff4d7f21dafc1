import type { LoopbackCluster } from './cluster.js';
import type { ControllerProcess } from './controller-process.js';
import type { ProcessLog } from './process-log.js';
import type { ProcessorTime } from './process-usage.js';

/** What one controller did and used over a period; all rates are per second. */
export interface ObservedUsage {
  seconds: number;
  cores: number;
  /** Cores used in user mode. */
  userCores: number;
  /** Cores used by the main thread, which runs JavaScript. */
  mainThreadCores: number;
  /** Heartbeats that the controller answered as the leader, as counted by the workers. */
  answeredHeartbeats: number;
  /** Heartbeats to the controller with another answer or none, as counted by the workers. */
  notRenewedHeartbeats: number;
  stateRequests: number;
  /** Resident memory at the end of the period. */
  residentMb: number;
  /** Peak of the resident memory over the period. */
  peakMb: number;
  /** Averages over the controller's log lines with process statistics; empty if it logged none. */
  processStatistics: Record<string, number>;
}

/** Running totals of one controller at a point in time. */
interface Totals {
  atMs: number;
  processor: ProcessorTime;
  answeredHeartbeats: number;
  notRenewedHeartbeats: number;
  stateRequests: number;
}

/** Observes one controller from the construction to `end`. */
export class Observation {
  private readonly before: Totals;

  constructor(
    private readonly cluster: LoopbackCluster,
    readonly controller: ControllerProcess,
  ) {
    controller.resetPeakMemory();
    this.before = this.totals();
  }

  /** The usage since the start of the observation. */
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

/** Log messages with process statistics: the present one, and that of earlier builds (`--sources`). */
const STATISTICS_MESSAGES = ['process statistics sampled', 'vitals'];

/** Mean of each number in the process statistics that were logged from `sinceMs` on. */
function averageStatistics(log: ProcessLog, sinceMs: number): Record<string, number> {
  const lines = STATISTICS_MESSAGES.flatMap((message) => log.since(message, sinceMs));
  const names = Object.keys(lines[0] ?? {}).filter((name) => typeof lines[0][name] === 'number');
  const sum = (name: string) => lines.reduce((total, line) => total + (line[name] as number), 0);
  return Object.fromEntries(names.map((name) => [name, sum(name) / lines.length]));
}
