import type { Clock } from '#wire';

/** Report periods within which a worker counts as heard, here or by a peer. */
export const REACHABLE_INTERVALS = 3;

/** The workers that lately reported here although this controller does not own. */
export class FollowerHeartbeats {
  /** Steady seconds by machine. */
  private readonly lastHeartbeatAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly heartbeatIntervalS: number,
  ) {}

  record(machine: string): void {
    this.lastHeartbeatAt.set(machine, this.clock.now());
  }

  /** How many workers there are. */
  count(): number {
    const since = this.clock.now() - REACHABLE_INTERVALS * this.heartbeatIntervalS;
    for (const [machine, at] of this.lastHeartbeatAt) {
      if (at < since) this.lastHeartbeatAt.delete(machine);
    }
    return this.lastHeartbeatAt.size;
  }
}
