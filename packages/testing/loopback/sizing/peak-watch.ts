import type { ControllerProcess } from './controller-process.js';

const SAMPLE_INTERVAL_MS = 100;
/** Length of the window over which the peak processor use is averaged. */
const WINDOW_MS = 1000;

interface Sample {
  atMs: number;
  processorS: number;
}

/** The peak of a controller's processor use and memory. */
export interface Peak {
  /** Highest average over a window of one second. */
  cores: number;
  memoryMb: number;
}

/** Samples the usage of one controller until `end`. */
export class PeakWatch {
  private readonly samples: Sample[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly controller: ControllerProcess) {
    controller.resetPeakMemory();
    this.sample();
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  end(): Peak {
    clearInterval(this.timer);
    this.sample();
    return { cores: peakCores(this.samples), memoryMb: this.controller.memory().peakMb };
  }

  private sample(): void {
    if (!this.controller.alive) return;
    this.samples.push({ atMs: performance.now(), processorS: this.controller.processorS() });
  }
}

/** Highest average number of cores in use over a window of one second, or more if samples come late. */
export function peakCores(samples: Sample[]): number {
  let greatest = 0;
  let first = 0;
  for (const { atMs, processorS } of samples) {
    while (atMs - samples[first + 1]?.atMs >= WINDOW_MS) first++;
    const windowMs = atMs - samples[first].atMs;
    if (windowMs < WINDOW_MS) continue;
    greatest = Math.max(greatest, ((processorS - samples[first].processorS) / windowMs) * 1000);
  }
  return greatest;
}
