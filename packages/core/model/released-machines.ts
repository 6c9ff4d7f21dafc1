/** Tells messages of machines that are gone from those of machines that are not known yet. */

/** In worker leases: how long messages of a machine that is gone are expected. */
const RETENTION_LEASES = 60;

/**
 * Names of machines that the cloud has confirmed to be gone. Names never come again, so whatever still
 * arrives in the name of one is a late copy.
 */
export class ReleasedMachines {
  /** Seconds of the steady clock by name, oldest first. */
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
