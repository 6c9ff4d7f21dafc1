import { BehaviorSubject } from 'rxjs';
import { NoAnswer, Runtime, WakeablePause } from '#wire';
import { PrefixCache } from './cache.js';
import { StateClient } from './client.js';
import { Hedge } from './hedge.js';
import { PartRecord, partKey } from './records.js';

export interface Term {
  part: number;
  /** Version of the part's key: rises with every claim. */
  term: number;
  grant: number;
  claimedAt: number;
}

/** How often an owner sends its renewal in the life of its grant while no answer comes. */
const RENEWALS_IN_A_LIFE = 8;

/** Share of a grant's life for which a controller that should not own leaves a free part to the others. */
const HESITATION = 1 / 8;

/** The answer to a renewal, and when the renewal was sent. */
interface Renewal {
  /** False: the grant has ended. */
  alive: boolean;
  sentAt: number;
}

export interface OwnershipOptions {
  client: StateClient;
  runtime: Runtime;
  /** Holds the part's key. */
  cache: PrefixCache;
  /** This controller's name. */
  name: string;
  part: number;
  /** Time to live of the grant. */
  ttlS: number;
  /** Others would make better owners now, and get the part first if they claim it. */
  hesitates?: () => boolean;
}

/**
 * Keeps a grant and tries to hold a part's key on it. The grant's number tells one life of a process
 * from the next, so a process that restarts at once is a new owner.
 */
export class Ownership {
  readonly term = new BehaviorSubject<Term | null>(null);
  /** The part's key as last seen. */
  holder: (PartRecord & { version: number }) | null = null;
  /** The newest owner that was seen; term 0 if none. */
  newestHolder = { term: 0, name: '' };
  /** A claim was sent that may still be carried out, with no owner seen since. */
  private claimOpen = false;
  private grant: number | null = null;
  /** No claim before then, so that another controller gets the part. */
  private claimAfter = -Infinity;
  /** How long that pause was to be when the part was given up; seconds. */
  private claimPauseS = 0;
  /** When the part was last seen to become free; steady seconds. */
  private freeSince = -Infinity;
  /** When the last renewal that succeeded was sent. */
  renewedAt = -Infinity;

  private readonly idle: WakeablePause;
  private readonly renewals: Hedge;

  constructor(private readonly options: OwnershipOptions) {
    const { clock } = options.runtime;
    this.idle = new WakeablePause(clock);
    this.renewals = new Hedge({
      clock,
      leastDelayS: options.ttlS / RENEWALS_IN_A_LIFE,
      maxAttempts: RENEWALS_IN_A_LIFE,
    });
    options.cache.changes.subscribe((event) => {
      if (event.key !== partKey(options.part)) return;
      this.holder = event.value ? { ...(event.value as PartRecord), version: event.version } : null;
      if (this.holder) {
        this.newestHolder = { term: event.version, name: this.holder.owner };
        // A claim that is still to be carried out fails while the key is there.
        this.claimOpen = false;
      } else this.freeSince = options.runtime.clock.now();
      this.noticeHolder();
      this.idle.wake();
    });
  }

  /** Surely ours until then, by the grant alone. */
  get provenUntil(): number {
    return this.renewedAt + this.options.ttlS * 0.95;
  }

  /** We own the part, or may own it without knowing yet. */
  get mayOwn(): boolean {
    return this.term.value !== null || this.claimOpen;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.step(signal);
      } catch {
        // Refused or unanswered: the term stands until the service says that it is gone.
        this.prolongPause();
      }
      const spread = 0.8 + this.options.runtime.random() * 0.4;
      await this.idle.wait(this.pauseS() * 1000 * spread, signal);
    }
  }

  /**
   * Gives the part up at once, as when our own records were not as expected, and leaves it to the others
   * for a while.
   */
  resign(pauseS = 0): void {
    const { client, runtime } = this.options;
    this.claimAfter = runtime.clock.now() + pauseS;
    this.claimPauseS = pauseS;
    const grant = this.grant;
    this.grant = null;
    this.term.next(null);
    if (grant !== null) {
      client.call(true, undefined, (api) => api.drop(grant)).catch(() => {});
    }
  }

  /** In an outage the others can't claim either, so that the pause must outlast it. */
  private prolongPause(): void {
    const now = this.options.runtime.clock.now();
    if (now < this.claimAfter) this.claimAfter = now + this.claimPauseS;
  }

  /** An owner renews in good time; others only keep a grant ready, and hurry once the part is free. */
  private pauseS(): number {
    const { ttlS } = this.options;
    if (this.term.value !== null) return ttlS / 5;
    return this.holder !== null ? ttlS / 3 : ttlS / 20;
  }

  private async step(signal: AbortSignal): Promise<void> {
    const { client, cache, runtime, ttlS } = this.options;
    const { clock } = runtime;
    if (this.grant === null) {
      const sentAt = clock.now();
      const ttlMs = Math.round(ttlS * 1000);
      this.grant = await client.call(true, signal, (api) => api.grant(ttlMs, signal));
      this.renewedAt = sentAt;
    } else {
      const grant = this.grant;
      const { alive, sentAt } = await this.renew(grant, signal);
      if (this.grant !== grant) return;
      if (alive) this.renewedAt = sentAt;
      else {
        this.grant = null;
        this.term.next(null);
        return;
      }
    }
    const free = this.term.value === null && this.holder === null && cache.ready;
    if (free && clock.now() >= this.claimableFrom()) await this.claim(signal);
  }

  private claimableFrom(): number {
    const { hesitates, ttlS } = this.options;
    const hesitationS = hesitates?.() ? HESITATION * ttlS : 0;
    return Math.max(this.claimAfter, this.freeSince + hesitationS);
  }

  /** An owner does not wait for long where one answer is lost: its term may end meanwhile. */
  private renew(grant: number, signal: AbortSignal): Promise<Renewal> {
    const { client, runtime } = this.options;
    const request = async (own: AbortSignal): Promise<Renewal> => {
      const sentAt = runtime.clock.now();
      const alive = await client.call(true, own, (api) => api.touch(grant, own));
      return { alive, sentAt };
    };
    return this.term.value === null ? request(signal) : this.renewals.run(request, signal);
  }

  private async claim(signal: AbortSignal): Promise<void> {
    const { client, cache, name, part } = this.options;
    const grant = this.grant!;
    const key = partKey(part);
    const value: PartRecord = { owner: name, grant };
    this.claimOpen = true;
    try {
      const out = await client.txn(
        [{ key, version: 0 }],
        [{ put: key, value, lease: grant }],
        true,
        signal,
      );
      if (out.ok) {
        // Through the cache, so that an older event which is still to come is known as older.
        cache.learn(key, value, out.revision);
      } else if ('leaseGone' in out) this.grant = null;
      this.claimOpen = false;
    } catch (err) {
      // A claim applied late shows up in the watch; it is then ours, or lapses with its grant.
      if (err instanceof NoAnswer) return;
      this.claimOpen = false;
      throw err;
    }
  }

  private noticeHolder(): void {
    const holder = this.holder;
    const held = this.term.value;
    if (holder && this.grant !== null && holder.grant === this.grant) {
      if (held?.term !== holder.version) {
        this.term.next({
          part: this.options.part,
          term: holder.version,
          grant: this.grant,
          claimedAt: this.options.runtime.clock.now(),
        });
      }
    } else if (held && (!holder || holder.version > held.term)) {
      this.term.next(null);
    }
  }
}
