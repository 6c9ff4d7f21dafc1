/** The lease in the state service that holds the leader key of a shard. */
import type { Runtime } from '#wire';
import { HedgedRequests } from './hedged-request.js';
import type { StateClient } from './state-client.js';

/** Renewals that a leader sends within the lease's time to live while no answer comes. */
const RENEWALS_PER_TTL = 8;
/** Share of its time to live for which a lease is surely alive after a renewal was sent, whatever the clocks do. */
const GUARANTEED_SHARE = 0.95;

/** Whether the lease is alive, by the answer to a renewal, and when that renewal was sent. */
interface Renewal {
  alive: boolean;
  /** Steady seconds. */
  sentAt: number;
}

/** What became of a lease that was to be renewed. */
export type RenewalOutcome = 'alive' | 'ended' | 'replaced';

/** What the lease needs, and for how long it is granted. */
export interface ElectionLeaseOptions {
  client: StateClient;
  runtime: Runtime;
  /** Time to live. */
  ttlS: number;
}

/**
 * The election lease: the leader key hangs on it while this controller leads, and is removed with it.
 * Its number tells one incarnation of a controller from the next.
 */
export class ElectionLease {
  /** Its number; null while there is none. */
  id: number | null = null;
  /** When the last renewal that succeeded was sent; steady seconds. */
  renewedAt = -Infinity;
  private readonly renewals: HedgedRequests;

  constructor(private readonly options: ElectionLeaseOptions) {
    this.renewals = new HedgedRequests({
      clock: options.runtime.clock,
      minDelayS: options.ttlS / RENEWALS_PER_TTL,
      maxAttempts: RENEWALS_PER_TTL,
    });
  }

  /** Surely alive until then; steady seconds. */
  get validUntil(): number {
    return this.renewedAt + this.options.ttlS * GUARANTEED_SHARE;
  }

  /** Has a new one granted; rejects as `StateClient.callUrgent` does. */
  async obtain(signal: AbortSignal): Promise<void> {
    const { client, runtime, ttlS } = this.options;
    const ttlMs = Math.round(ttlS * 1000);
    const sentAt = runtime.clock.now();
    this.id = await client.callUrgent(signal, (api) => api.grantLease(ttlMs, signal));
    this.renewedAt = sentAt;
  }

  /**
   * Renews it; `ended` if the state service says so, `replaced` if it was given up meanwhile. Rejects as
   * `StateClient.callUrgent` does. With `resend` the renewal is sent again beside the first while no answer comes:
   * a leader must not wait long for an answer that is lost, since its term may end meanwhile.
   */
  async renew(signal: AbortSignal, { resend }: { resend: boolean }): Promise<RenewalOutcome> {
    const { id } = this;
    if (id === null) return 'replaced';
    const request = (attempt: AbortSignal) => this.requestRenewal(id, attempt);
    const { alive, sentAt } = await (resend ? this.renewals.run(request, signal) : request(signal));
    if (this.id !== id) return 'replaced';
    if (alive) this.renewedAt = sentAt;
    else this.id = null;
    return alive ? 'alive' : 'ended';
  }

  /** Ends it at once, with the leader key that hangs on it. */
  revoke(): void {
    const { id } = this;
    this.id = null;
    if (id === null) return;
    const request = this.options.client.callUrgent(undefined, (api) => api.revokeLease(id));
    request.catch(() => {
      // Nobody renews the lease any more, so without an answer it expires by itself.
    });
  }

  private async requestRenewal(id: number, signal: AbortSignal): Promise<Renewal> {
    const { client, runtime } = this.options;
    const sentAt = runtime.clock.now();
    const alive = await client.callUrgent(signal, (api) => api.renewLease(id, signal));
    return { alive, sentAt };
  }
}
