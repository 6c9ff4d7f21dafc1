/** The lease in the state service to which the leader key of a shard is attached. */
import type { Runtime } from '#wire';
import { HedgedRequests } from './hedged-request.js';
import type { StateClient } from './state-client.js';

/** Number of renewals that a leader sends within the TTL of its lease while none is answered. */
const RENEWALS_PER_TTL = 8;
/** Fraction of the TTL for which a lease certainly lives after a renewal was sent, despite clock drift. */
const GUARANTEED_SHARE = 0.95;

/** The answer to a renewal of the lease. */
interface Renewal {
  alive: boolean;
  /** When the renewal was sent, in seconds of the monotonic clock. */
  sentAt: number;
}

/**
 * Outcome of a renewal. `alive`: the lease was renewed. `ended`: the state service no longer has the lease. `replaced`:
 * this process dropped or replaced the lease before the answer arrived, or had none.
 */
export type RenewalOutcome = 'alive' | 'ended' | 'replaced';

/** Dependencies and TTL of an `ElectionLease`. */
export interface ElectionLeaseOptions {
  client: StateClient;
  runtime: Runtime;
  ttlS: number;
}

/**
 * The election lease of a controller. While the controller leads, the leader key is attached to the lease
 * and is removed when the lease ends. The lease's ID distinguishes incarnations of a controller.
 */
export class ElectionLease {
  /** ID of the lease; null while there is none. */
  id: number | null = null;
  /** Send time of the latest successful grant or renewal, in seconds of the monotonic clock. */
  renewedAt = -Infinity;
  private readonly renewals: HedgedRequests;

  constructor(private readonly options: ElectionLeaseOptions) {
    this.renewals = new HedgedRequests({
      clock: options.runtime.clock,
      minDelayS: options.ttlS / RENEWALS_PER_TTL,
      maxAttempts: RENEWALS_PER_TTL,
    });
  }

  /** Time until which the lease certainly lives, in seconds of the monotonic clock. */
  get validUntil(): number {
    return this.renewedAt + this.options.ttlS * GUARANTEED_SHARE;
  }

  /** Requests a new lease; rejects with the errors of `StateClient.callUrgent`. */
  async obtain(signal: AbortSignal): Promise<void> {
    const { client, runtime, ttlS } = this.options;
    const ttlMs = Math.round(ttlS * 1000);
    const sentAt = runtime.clock.now();
    this.id = await client.callUrgent(signal, (api) => api.grantLease(ttlMs, signal));
    this.renewedAt = sentAt;
  }

  /**
   * Renews the lease. Rejects with the errors of `StateClient.callUrgent`. With `resend` the renewal is hedged:
   * further attempts are sent while none is answered, since the term of a leader that waits for a lost answer
   * could end meanwhile.
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

  /** Revokes the lease, which removes the leader key attached to it. */
  revoke(): void {
    const { id } = this;
    this.id = null;
    if (id === null) return;
    const request = this.options.client.callUrgent(undefined, (api) => api.revokeLease(id));
    request.catch(() => {
      // The lease is not renewed any more, so it expires even if the revocation fails.
    });
  }

  private async requestRenewal(id: number, signal: AbortSignal): Promise<Renewal> {
    const { client, runtime } = this.options;
    const sentAt = runtime.clock.now();
    const alive = await client.callUrgent(signal, (api) => api.renewLease(id, signal));
    return { alive, sentAt };
  }
}
