import type { Clock } from '#wire';

/** Report periods within which a worker counts as heard, here or by a peer. */
export const HEARD_PERIODS = 3;

/** The workers that lately reported here although this controller does not own. */
export class UnownedReports {
  /** Steady seconds by machine. */
  private readonly reportedAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly reportS: number,
  ) {}

  note(machine: string): void {
    this.reportedAt.set(machine, this.clock.now());
  }

  /** How many workers there are. */
  count(): number {
    const since = this.clock.now() - HEARD_PERIODS * this.reportS;
    for (const [machine, at] of this.reportedAt) {
      if (at < since) this.reportedAt.delete(machine);
    }
    return this.reportedAt.size;
  }
}
