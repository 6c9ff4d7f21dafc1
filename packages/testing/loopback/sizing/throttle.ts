import type { ControllerProcess } from './controller-process.js';

/** Interval of the checks; a process may exceed its share by about this much processor time. */
const CHECK_INTERVAL_MS = 2;
/** Unused allowance accumulates for at most this time, which is the usual period of a CPU quota. */
const BURST_PERIOD_S = 0.1;

/** The processor time that one run of a controller may use: a token bucket that fills with time. */
export class CpuAllowance {
  private grantedS: number;

  constructor(
    private readonly cores: number,
    private atS: number,
  ) {
    this.grantedS = cores * BURST_PERIOD_S;
  }

  /** Whether the process may continue, given the processor time that it has used since its start. */
  allows(nowS: number, usedS: number): boolean {
    this.grantedS += (nowS - this.atS) * this.cores;
    this.atS = nowS;
    this.grantedS = Math.min(this.grantedS, usedS + this.cores * BURST_PERIOD_S);
    return usedS <= this.grantedS;
  }
}

/**
 * Limits controllers to a share of a core by stopping and continuing their processes (SIGSTOP, SIGCONT). This is
 * not a limit of the machine: a controller runs at full speed for some milliseconds and is then stopped.
 */
export class Throttle {
  private timer: NodeJS.Timeout | null = null;
  /** By process id, so that each run of a controller starts with a new allowance. */
  private readonly allowances = new Map<number, CpuAllowance>();

  constructor(
    private readonly controllers: ControllerProcess[],
    private readonly cores: number,
  ) {}

  begin(): void {
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  end(): void {
    if (this.timer !== null) clearInterval(this.timer);
    this.timer = null;
    for (const controller of this.controllers) controller.setStopped(false);
  }

  private check(): void {
    const nowS = performance.now() / 1000;
    for (const controller of this.controllers) {
      if (!controller.alive) continue;
      const { pid, startedAtMs } = controller.run;
      const allowance =
        this.allowances.get(pid) ?? new CpuAllowance(this.cores, startedAtMs / 1000);
      this.allowances.set(pid, allowance);
      controller.setStopped(!allowance.allows(nowS, controller.processorS()));
    }
  }
}
