import { BehaviorSubject } from 'rxjs';
import { NoAnswer, Runtime, WakeablePause } from '#wire';
import { PrefixCache } from './prefix-cache.js';
import { StateClient } from './state-client.js';
import { ElectionLease } from './election-lease.js';
import { decodeLeader, encodeLeader, type LeaderRecord } from './codecs/leader-codec.js';
import { shardKey } from './record-keys.js';

export interface Term {
  shard: number;
  /** Version of the part's key: rises with every claim. */
  term: number;
  leaseId: number;
  electedAt: number;
}

/** Share of a grant's life for which a controller that should not own leaves a free part to the others. */
const CAMPAIGN_DEFERRAL = 1 / 8;

/** What a planned move of the part changes for its ownership; set by whoever carries the move out. */
export interface LeadershipTransfer {
  /** Since when a successor may own without our knowing, steady seconds; null while none may. */
  successorPossibleSince: number | null;
  /** A transaction was sent that makes us the owner, and may still be carried out. */
  mayTakeShard: boolean;
}

export interface LeaderElectionOptions {
  client: StateClient;
  runtime: Runtime;
  /** Holds the part's key. */
  cache: PrefixCache;
  /** This controller's name. */
  name: string;
  shard: number;
  /** Time to live of the grant. */
  ttlS: number;
  /** Others would make better owners now, and get the part first if they claim it. */
  defersCampaign?: () => boolean;
}

/**
 * Keeps a grant and tries to hold a part's key on it. The grant's number tells one life of a process
 * from the next, so a process that restarts at once is a new owner.
 */
export class LeaderElection {
  readonly term = new BehaviorSubject<Term | null>(null);
  /** The part's key as last seen. */
  currentLeader: (LeaderRecord & { version: number }) | null = null;
  /** The newest owner that was seen; term 0 if none. */
  newestLeader = { term: 0, name: '' };
  /** A claim was sent that may still be carried out, with no owner seen since. */
  private campaignPending = false;
  readonly transfer: LeadershipTransfer = { successorPossibleSince: null, mayTakeShard: false };
  private readonly lease: ElectionLease;
  /** No claim before then, so that another controller gets the part. */
  private campaignAfter = -Infinity;
  /** How long that pause was to be when the part was given up; seconds. */
  private campaignPauseS = 0;
  /** When the part was last seen to become free; steady seconds. */
  private freeSince = -Infinity;
  private readonly idle: WakeablePause;

  constructor(private readonly options: LeaderElectionOptions) {
    const { clock } = options.runtime;
    this.idle = new WakeablePause(clock);
    this.lease = new ElectionLease(options);
    options.cache.changes.subscribe((event) => {
      if (event.key !== shardKey(options.shard)) return;
      this.currentLeader = event.value
        ? { ...decodeLeader(event.value), version: event.version }
        : null;
      if (this.currentLeader) {
        this.newestLeader = { term: event.version, name: this.currentLeader.leader };
        // A claim that is still to be carried out fails while the key is there.
        this.campaignPending = false;
      } else this.freeSince = options.runtime.clock.now();
      this.observeLeader();
      this.idle.wake();
    });
  }

  /** Surely ours until then, by the grant alone. */
  get provenUntil(): number {
    return this.unlessTransferred(this.lease.provenUntil);
  }

  /** When it was certain last that nobody else owns, by the grant alone; steady seconds. */
  get soleLeaderAt(): number {
    return this.unlessTransferred(this.lease.renewedAt);
  }

  /** The grant lives on beyond a move, and proves nothing from the moment on at which the part may be taken. */
  private unlessTransferred(provenAt: number): number {
    return Math.min(provenAt, this.transfer.successorPossibleSince ?? Infinity);
  }

  /** A grant that is surely alive, and that the part can be made to hang on; null while there is none. */
  get provenLeaseId(): number | null {
    const isAlive = this.options.runtime.clock.now() < this.lease.provenUntil;
    return isAlive ? this.lease.id : null;
  }

  /** We own the part, or may own it without knowing yet. */
  get mayLead(): boolean {
    return this.term.value !== null || this.campaignPending || this.transfer.mayTakeShard;
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
    this.campaignAfter = this.options.runtime.clock.now() + pauseS;
    this.campaignPauseS = pauseS;
    this.lease.revoke();
    this.term.next(null);
  }

  /** In an outage the others can't claim either, so that the pause must outlast it. */
  private prolongPause(): void {
    const now = this.options.runtime.clock.now();
    if (now < this.campaignAfter) this.campaignAfter = now + this.campaignPauseS;
  }

  /** An owner renews in good time; others only keep a grant ready, and hurry once the part is free. */
  private pauseS(): number {
    const { ttlS } = this.options;
    if (this.term.value !== null) return ttlS / 5;
    return this.currentLeader !== null ? ttlS / 3 : ttlS / 20;
  }

  private async step(signal: AbortSignal): Promise<void> {
    const { cache, runtime } = this.options;
    if (!(await this.keepLease(signal))) return;
    const free = this.term.value === null && this.currentLeader === null && cache.ready;
    if (free && runtime.clock.now() >= this.mayCampaignFrom()) await this.campaign(signal);
  }

  /** Renews the grant, or gets one. False if it has ended, and the term with it. */
  private async keepLease(signal: AbortSignal): Promise<boolean> {
    const { lease } = this;
    if (lease.id === null) {
      await lease.obtain(signal);
      return true;
    }
    const outcome = await lease.renew(signal, { resend: this.term.value !== null });
    if (outcome === 'ended') this.term.next(null);
    return outcome === 'alive';
  }

  private mayCampaignFrom(): number {
    const { defersCampaign, ttlS } = this.options;
    const deferralS = defersCampaign?.() ? CAMPAIGN_DEFERRAL * ttlS : 0;
    return Math.max(this.campaignAfter, this.freeSince + deferralS);
  }

  private async campaign(signal: AbortSignal): Promise<void> {
    const { client, cache, name, shard } = this.options;
    const leaseId = this.lease.id!;
    const key = shardKey(shard);
    const value = encodeLeader({ leader: name, leaseId });
    this.campaignPending = true;
    try {
      const out = await client.txn(
        [{ key, version: 0 }],
        [{ put: key, value, lease: leaseId }],
        true,
        signal,
      );
      if (out.ok) {
        // Through the cache, so that an older event which is still to come is known as older.
        cache.applyLocal(key, value, out.revision);
      } else if ('leaseGone' in out) this.lease.id = null;
      this.campaignPending = false;
    } catch (err) {
      // A claim applied late shows up in the watch; it is then ours, or lapses with its grant.
      if (err instanceof NoAnswer) return;
      this.campaignPending = false;
      throw err;
    }
  }

  private observeLeader(): void {
    const currentLeader = this.currentLeader;
    const held = this.term.value;
    const leaseId = this.lease.id;
    if (currentLeader && leaseId !== null && currentLeader.leaseId === leaseId) {
      if (held?.term !== currentLeader.version) {
        this.term.next({
          shard: this.options.shard,
          term: currentLeader.version,
          leaseId,
          electedAt: this.options.runtime.clock.now(),
        });
      }
    } else if (held && (!currentLeader || currentLeader.version > held.term)) {
      this.term.next(null);
    }
  }
}
