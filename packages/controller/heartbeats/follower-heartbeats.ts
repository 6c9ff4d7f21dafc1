/** Tracks the workers that send their heartbeats to this controller while it is a follower. */
import type { Clock } from '#wire';

/** Heartbeat intervals after its last heartbeat for which a worker counts as reachable. */
export const REACHABLE_INTERVALS = 3;

/** Counts the workers whose heartbeats recently reached this controller although it doesn't lead. */
export class FollowerHeartbeats {
  /** Time of each machine's last heartbeat, in seconds of the monotonic clock. */
  private readonly lastHeartbeatAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly heartbeatIntervalS: number,
  ) {}

  /** Records that a heartbeat of the machine has just arrived. */
  record(machine: string): void {
    this.lastHeartbeatAt.set(machine, this.clock.now());
  }

  /** Number of workers with a heartbeat within the last `REACHABLE_INTERVALS`. */
  count(): number {
    const since = this.clock.now() - REACHABLE_INTERVALS * this.heartbeatIntervalS;
    for (const [machine, lastAt] of this.lastHeartbeatAt) {
      if (lastAt < since) this.lastHeartbeatAt.delete(machine);
    }
    return this.lastHeartbeatAt.size;
  }
}
