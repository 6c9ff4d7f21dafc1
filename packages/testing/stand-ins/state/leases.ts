/** Leases of the state service, which clients renew and which keys are attached to. */
import type { Runtime, Timer } from '#wire';

/** Longest delay between the expiry time of a lease and its end, in seconds. */
const MAX_EXPIRY_DELAY_S = 0.1;

interface Lease {
  ttlMs: number;
  expiry: Timer | null;
}

/** Leases that end unless renewed within their time to live. A lease never ends early, but up to 100 ms late. */
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

  /** Restarts the time to live of the lease. Returns false if the lease has ended. */
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

  /** Ends a lease at once. Returns false if it had already ended. */
  end(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.expiry?.cancel();
    this.leases.delete(id);
    this.onEnd(id);
    return true;
  }

  /** Stops the expiry of all leases until `resume` is called. */
  suspend(): void {
    this.suspended = true;
    for (const lease of this.leases.values()) lease.expiry?.cancel();
  }

  /** Restarts expiry. Every lease gets its full time to live again. */
  resume(): void {
    this.suspended = false;
    for (const id of [...this.leases.keys()]) this.renew(id);
  }
}
