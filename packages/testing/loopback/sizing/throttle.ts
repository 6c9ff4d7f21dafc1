import type { ControllerProcess } from './controller-process.js';

/** From one look at the processes to the next; a process may go beyond its share by about as much. */
const CHECK_INTERVAL_MS = 2;
/** Time that a process which did little may use at one go; the usual period of a processor quota. */
const BURST_PERIOD_S = 0.1;

/** What one run of a controller may use, and how long it has used. */
export class CpuAllowance {
  private grantedS: number;

  constructor(
    private readonly cores: number,
    private atS: number,
  ) {
    this.grantedS = cores * BURST_PERIOD_S;
  }

  /** Whether the process may go on, with so much used since its start. */
  allows(nowS: number, usedS: number): boolean {
    this.grantedS += (nowS - this.atS) * this.cores;
    this.atS = nowS;
    this.grantedS = Math.min(this.grantedS, usedS + this.cores * BURST_PERIOD_S);
    return usedS <= this.grantedS;
  }
}

/**
 * Holds controllers to a share of a core by stopping and continuing their processes (SIGSTOP, SIGCONT). That is
 * no limit of the machine: a controller runs at full speed for some milliseconds and then stands still.
 */
export class Throttle {
  private timer: NodeJS.Timeout | null = null;
  /** By process id: each run begins anew. */
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
