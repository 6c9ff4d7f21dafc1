/** In leases of the workers: how long messages of a machine that is gone are expected. */
const MEMORY_LEASES = 60;

/**
 * Names of machines that the cloud has confirmed to be gone. Names never come again, so whatever still
 * arrives in the name of one is a late copy.
 */
export class ReleasedMachines {
  /** Steady seconds, oldest first. */
  private readonly releasedAt = new Map<string, number>();
  private readonly memoryS: number;

  constructor(leaseS: number) {
    this.memoryS = MEMORY_LEASES * leaseS;
  }

  add(name: string, now: number): void {
    this.releasedAt.set(name, now);
    for (const [oldest, at] of this.releasedAt) {
      if (now - at <= this.memoryS) break;
      this.releasedAt.delete(oldest);
    }
  }

  has(name: string): boolean {
    return this.releasedAt.has(name);
  }
}
