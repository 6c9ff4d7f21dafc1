import type { Runtime } from '#wire';
import type { StateClient } from './state-client.js';
import { Hedge } from './hedged-request.js';

/** How often an owner sends its renewal in the life of its grant while no answer comes. */
const RENEWALS_PER_TTL = 8;
/** Share of a grant's life for which it is surely alive after a renewal was sent, whatever the clocks do. */
const PROVEN_SHARE = 0.95;

/** Whether the grant is alive, by the answer to a renewal, and when that was sent. */
interface Renewal {
  alive: boolean;
  sentAt: number;
}

export interface ElectionLeaseOptions {
  client: StateClient;
  runtime: Runtime;
  /** Time to live. */
  ttlS: number;
}

/** The grant of the state service on which the part's key hangs while this controller owns. */
export class ElectionLease {
  /** Its number; null while there is none. */
  id: number | null = null;
  /** When the last renewal that succeeded was sent; steady seconds. */
  renewedAt = -Infinity;
  private readonly renewals: Hedge;

  constructor(private readonly options: ElectionLeaseOptions) {
    this.renewals = new Hedge({
      clock: options.runtime.clock,
      leastDelayS: options.ttlS / RENEWALS_PER_TTL,
      maxAttempts: RENEWALS_PER_TTL,
    });
  }

  /** Surely alive until then; steady seconds. */
  get provenUntil(): number {
    return this.renewedAt + this.options.ttlS * PROVEN_SHARE;
  }

  /** Gets a new one; rejects if the state service does not give it. */
  async obtain(signal: AbortSignal): Promise<void> {
    const { client, runtime, ttlS } = this.options;
    const ttlMs = Math.round(ttlS * 1000);
    const sentAt = runtime.clock.now();
    this.id = await client.call(true, signal, (api) => api.grantLease(ttlMs, signal));
    this.renewedAt = sentAt;
  }

  /**
   * Renews it; `ended` if the state service says so, `replaced` if it was given up meanwhile. An owner does not wait
   * for long where one answer is lost, since its term may end meanwhile: it sends the renewal again beside the first.
   */
  async renew(
    signal: AbortSignal,
    { resend }: { resend: boolean },
  ): Promise<'alive' | 'ended' | 'replaced'> {
    const { id } = this;
    if (id === null) return 'replaced';
    const request = (own: AbortSignal) => this.requestRenewal(id, own);
    const { alive, sentAt } = await (resend ? this.renewals.run(request, signal) : request(signal));
    if (this.id !== id) return 'replaced';
    if (alive) this.renewedAt = sentAt;
    else this.id = null;
    return alive ? 'alive' : 'ended';
  }

  private async requestRenewal(id: number, signal: AbortSignal): Promise<Renewal> {
    const { client, runtime } = this.options;
    const sentAt = runtime.clock.now();
    return { alive: await client.call(true, signal, (api) => api.renewLease(id, signal)), sentAt };
  }

  /** Ends it at once, with the keys that hang on it. */
  revoke(): void {
    const { id } = this;
    this.id = null;
    if (id === null) return;
    this.options.client.call(true, undefined, (api) => api.revokeLease(id)).catch(() => {});
  }
}
