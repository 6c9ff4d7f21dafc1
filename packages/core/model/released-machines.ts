/** Distinguishes messages of machines that are gone from those of machines that are not known yet. */

/** In worker leases: how long after its release a machine is remembered, as its delayed messages may still arrive. */
const RETENTION_LEASES = 60;

/**
 * Names of machines that the cloud has confirmed to be gone. Machine names are never reused, so any message that still
 * arrives from such a machine is a delayed one.
 */
export class ReleasedMachines {
  /** Time of release by machine name, oldest first, in seconds of the monotonic clock. */
  private readonly releasedAt = new Map<string, number>();
  private readonly retentionS: number;

  constructor(leaseS: number) {
    this.retentionS = RETENTION_LEASES * leaseS;
  }

  /** Remembers the name of a machine that is gone, and forgets those that are too old. */
  add(name: string, now: number): void {
    this.releasedAt.set(name, now);
    for (const [oldest, at] of this.releasedAt) {
      if (now - at <= this.retentionS) break;
      this.releasedAt.delete(oldest);
    }
  }

  /** Whether the machine is gone. */
  has(name: string): boolean {
    return this.releasedAt.has(name);
  }
}
