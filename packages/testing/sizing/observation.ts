import type { LoopbackCluster } from './cluster.js';
import type { ControllerProcess } from './controller-process.js';
import type { ProcessLog } from './process-log.js';
import type { ProcessorTime } from './process-use.js';

/** What one controller did and used over a span of time; rates are a second. */
export interface Observed {
  seconds: number;
  cores: number;
  /** The part of `cores` that the kernel did not use for it, and that of the program's own thread. */
  userCores: number;
  mainThreadCores: number;
  /** Reports answered as the owner, and turned away, as their workers saw it. */
  answeredReports: number;
  otherReports: number;
  stateRequests: number;
  /** Resident memory at the end, and its peak; MB. */
  residentMb: number;
  peakMb: number;
  /** Averages of what the controller's own `process statistics sampled` lines say; empty if it logged none meanwhile. */
  vitals: Record<string, number>;
}

/** Totals since the start of a controller. */
interface Totals {
  atMs: number;
  processor: ProcessorTime;
  answeredReports: number;
  otherReports: number;
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
  end(): Observed {
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
      answeredReports: rate(({ answeredReports }) => answeredReports),
      otherReports: rate(({ otherReports }) => otherReports),
      stateRequests: rate(({ stateRequests }) => stateRequests),
      residentMb: nowMb,
      peakMb,
      vitals: averageVitals(controller.run.log, before.atMs),
    };
  }

  private totals(): Totals {
    const { cluster, controller } = this;
    const { reports } = cluster;
    return {
      atMs: performance.now(),
      processor: controller.processor(),
      answeredReports: reports.answered.get(controller.name) ?? 0,
      otherReports: reports.turnedAway.get(controller.name) ?? 0,
      stateRequests: cluster.stateRequestsOf(controller),
    };
  }
}

/** The message of the lines with a controller's own figures, and the one of earlier builds (`--sources`). */
const STATISTICS_LINES = ['process statistics sampled', 'vitals'];

/** Mean of each number in those lines since then. */
function averageVitals(log: ProcessLog, sinceMs: number): Record<string, number> {
  const lines = STATISTICS_LINES.flatMap((message) => log.since(message, sinceMs));
  const names = Object.keys(lines[0] ?? {}).filter((name) => typeof lines[0][name] === 'number');
  const sum = (name: string) => lines.reduce((total, line) => total + (line[name] as number), 0);
  return Object.fromEntries(names.map((name) => [name, sum(name) / lines.length]));
}
