/** The leases of the state service. */
import type { Runtime, Timer } from '#wire';

/** How much later than its time a lease may end, in seconds. */
const MAX_EXPIRY_DELAY_S = 0.1;

interface Lease {
  ttlMs: number;
  expiry: Timer | null;
}

/** Leases that end if they are not renewed in time: never early, and up to 100 ms late. */
export class Leases {
  private readonly leases = new Map<number, Lease>();
  private nextId = 1;
  private suspended = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly onEnd: (id: number) => void,
  ) {}

  has(id: number): boolean {
    return this.leases.has(id);
  }

  grant(ttlMs: number): number {
    const id = this.nextId++;
    this.leases.set(id, { ttlMs, expiry: null });
    this.renew(id);
    return id;
  }

  /** False if the lease has ended. */
  renew(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.expiry?.cancel();
    const delayMs = this.runtime.random() * MAX_EXPIRY_DELAY_S * 1000;
    lease.expiry = this.suspended
      ? null
      : this.runtime.clock.setTimer(() => this.end(id), lease.ttlMs + delayMs);
    return true;
  }

  /** Ends a lease at once; false if it has ended before. */
  end(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.expiry?.cancel();
    this.leases.delete(id);
    this.onEnd(id);
    return true;
  }

  /** No lease ends until resume(). */
  suspend(): void {
    this.suspended = true;
    for (const lease of this.leases.values()) lease.expiry?.cancel();
  }

  /** All leases have their full time again. */
  resume(): void {
    this.suspended = false;
    for (const id of [...this.leases.keys()]) this.renew(id);
  }
}
