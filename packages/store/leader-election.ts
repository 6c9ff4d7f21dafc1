/** Leader election of one shard: campaigns for its leader key, and the terms that come of it. */
import { BehaviorSubject } from 'rxjs';
import { NoAnswer, type Runtime, WakeableWait, type WatchEvent } from '#wire';
import { decodeLeader, encodeLeader, type LeaderRecord } from './codecs/leader-codec.js';
import { ElectionLease } from './election-lease.js';
import type { PrefixCache } from './prefix-cache.js';
import { shardKey } from './record-keys.js';
import type { StateClient } from './state-client.js';

/** Share of the lease's time to live for which a controller defers its campaign if others would lead better. */
const CAMPAIGN_DEFERRAL = 1 / 8;
/** Steps in the lease's time to live: of a leader, of a follower, and while the shard has no leader. */
const LEADER_STEPS_PER_TTL = 5;
const FOLLOWER_STEPS_PER_TTL = 3;
const LEADERLESS_STEPS_PER_TTL = 20;
/** Each pause is drawn between these multiples of itself, so that controllers do not act in step. */
const MIN_JITTER = 0.8;
const JITTER_RANGE = 0.4;

/** The time in which one controller leads a shard. */
export interface Term {
  shard: number;
  /** Version of the leader key: rises with every election. */
  term: number;
  /** Number of the election lease on which the leader key hangs. */
  leaseId: number;
  /** When this controller saw that it was elected; steady seconds. */
  electedAt: number;
}

/** What a planned shard migration changes for the leadership; set by whoever carries it out. */
export interface LeadershipTransfer {
  /** Since when a successor may lead without our knowing, steady seconds; null while none may. */
  successorPossibleSince: number | null;
  /** A transaction was sent that makes us the leader, and may still be carried out. */
  mayTakeShard: boolean;
}

/** What an election needs. */
export interface LeaderElectionOptions {
  client: StateClient;
  runtime: Runtime;
  /** Holds the leader key. */
  cache: PrefixCache;
  /** This controller's name. */
  name: string;
  shard: number;
  /** Time to live of the election lease. */
  ttlS: number;
  /** Others would make better leaders now, and are elected first if they campaign. */
  defersCampaign?: () => boolean;
}

/**
 * Keeps an election lease and campaigns for the leader key of a shard whenever it has no leader. The
 * lease's number tells one incarnation of a controller from the next, so a controller that restarts at
 * once is a new leader.
 */
export class LeaderElection {
  /** The term in which this controller leads; null while it follows. */
  readonly term = new BehaviorSubject<Term | null>(null);
  /** The leader key as last seen; null while the shard has no leader. */
  currentLeader: (LeaderRecord & { version: number }) | null = null;
  /** The newest leader that was seen; term 0 if none. */
  newestLeader = { term: 0, name: '' };
  /** A campaign was sent that may still be carried out, with no leader seen since. */
  private campaignPending = false;
  /** State of a planned transfer of the leadership. */
  readonly transfer: LeadershipTransfer = { successorPossibleSince: null, mayTakeShard: false };
  private readonly lease: ElectionLease;
  /** No campaign before then, so that another controller is elected; steady seconds. */
  private campaignAfter = -Infinity;
  /** How long that pause was to be when this controller resigned; seconds. */
  private campaignPauseS = 0;
  /** When the shard was last seen to lose its leader; steady seconds. */
  private leaderlessSince = -Infinity;
  private readonly stepPause: WakeableWait;

  constructor(private readonly options: LeaderElectionOptions) {
    this.stepPause = new WakeableWait(options.runtime.clock);
    this.lease = new ElectionLease(options);
    const leaderKey = shardKey(options.shard);
    options.cache.changes.subscribe((event) => {
      if (event.key === leaderKey) this.observeLeaderKey(event);
    });
  }

  /** Nobody else leads until then, by the lease alone; steady seconds. */
  get provenUntil(): number {
    return this.capByTransfer(this.lease.validUntil);
  }

  /** When it was last certain that nobody else leads, by the lease alone; steady seconds. */
  get soleLeaderAt(): number {
    return this.capByTransfer(this.lease.renewedAt);
  }

  /** Number of a lease that is surely alive, and that the leader key can be made to hang on; null while there is none. */
  get provenLeaseId(): number | null {
    const isAlive = this.options.runtime.clock.now() < this.lease.validUntil;
    return isAlive ? this.lease.id : null;
  }

  /** This controller leads, or may have been elected without knowing yet. */
  get mayLead(): boolean {
    return this.term.value !== null || this.campaignPending || this.transfer.mayTakeShard;
  }

  /** Takes part in the election until the signal aborts; never rejects. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.step(signal);
      } catch {
        // Refused or unanswered: the term stands until the service says that it is over.
        this.extendCampaignPause();
      }
      const jitter = MIN_JITTER + this.options.runtime.random() * JITTER_RANGE;
      await this.stepPause.wait(this.stepPauseS() * 1000 * jitter, signal);
    }
  }

  /**
   * Ends the term at once, as when our own records were not as expected, and does not campaign for so
   * many seconds.
   */
  resign(pauseS = 0): void {
    this.campaignAfter = this.options.runtime.clock.now() + pauseS;
    this.campaignPauseS = pauseS;
    this.lease.revoke();
    this.term.next(null);
  }

  /** The lease outlives a transfer, and proves nothing from the moment on at which a successor may lead. */
  private capByTransfer(provenAt: number): number {
    return Math.min(provenAt, this.transfer.successorPossibleSince ?? Infinity);
  }

  /** In an outage the others can't campaign either, so that the pause must outlast it. */
  private extendCampaignPause(): void {
    const now = this.options.runtime.clock.now();
    if (now < this.campaignAfter) this.campaignAfter = now + this.campaignPauseS;
  }

  /** A leader renews in good time; others only keep a lease ready, and hurry once the shard has no leader. */
  private stepPauseS(): number {
    const { ttlS } = this.options;
    if (this.term.value !== null) return ttlS / LEADER_STEPS_PER_TTL;
    return ttlS / (this.currentLeader ? FOLLOWER_STEPS_PER_TTL : LEADERLESS_STEPS_PER_TTL);
  }

  private async step(signal: AbortSignal): Promise<void> {
    const { cache, runtime } = this.options;
    if (!(await this.ensureLease(signal))) return;
    const isLeaderless = this.term.value === null && this.currentLeader === null && cache.isLoaded;
    if (!isLeaderless || runtime.clock.now() < this.earliestCampaignAt()) return;
    // Whoever resigned since the answer came has no lease for the key to hang on.
    const leaseId = this.lease.id;
    if (leaseId !== null) await this.campaign(leaseId, signal);
  }

  /** Renews the lease, or has one granted. False if it has ended, and the term with it. */
  private async ensureLease(signal: AbortSignal): Promise<boolean> {
    const { lease } = this;
    if (lease.id === null) {
      await lease.obtain(signal);
      return true;
    }
    const outcome = await lease.renew(signal, { resend: this.term.value !== null });
    if (outcome === 'ended') this.term.next(null);
    return outcome === 'alive';
  }

  /** When this controller may campaign; steady seconds. */
  private earliestCampaignAt(): number {
    const { defersCampaign, ttlS } = this.options;
    const deferralS = defersCampaign?.() ? CAMPAIGN_DEFERRAL * ttlS : 0;
    return Math.max(this.campaignAfter, this.leaderlessSince + deferralS);
  }

  private async campaign(leaseId: number, signal: AbortSignal): Promise<void> {
    const { client, cache, name, shard } = this.options;
    const key = shardKey(shard);
    const value = encodeLeader({ leader: name, leaseId });
    const ifAbsent = { key, version: 0 };
    const putKey = { put: key, value, lease: leaseId };
    this.campaignPending = true;
    try {
      const outcome = await client.txnUrgent([ifAbsent], [putKey], signal);
      if (outcome.ok) {
        // Through the cache, so that an older event which is still to come is known as older.
        cache.applyLocal(key, value, outcome.revision);
      } else if ('leaseGone' in outcome) {
        this.lease.id = null;
      }
      this.campaignPending = false;
    } catch (error) {
      // A campaign that is carried out late shows in the watch; it is then ours, or ends with its lease.
      if (error instanceof NoAnswer) return;
      this.campaignPending = false;
      throw error;
    }
  }

  private observeLeaderKey({ value, version }: WatchEvent): void {
    this.currentLeader = value ? { ...decodeLeader(value), version } : null;
    if (this.currentLeader) {
      this.newestLeader = { term: version, name: this.currentLeader.leader };
      // A campaign that is still to be carried out fails while the key is there.
      this.campaignPending = false;
    } else {
      this.leaderlessSince = this.options.runtime.clock.now();
    }
    this.updateTerm();
    this.stepPause.wake();
  }

  /** Begins a term if the leader key hangs on our lease, and ends one that is over. */
  private updateTerm(): void {
    const { term, lease, currentLeader } = this;
    if (currentLeader && lease.id !== null && currentLeader.leaseId === lease.id) {
      if (term.value?.term !== currentLeader.version) this.beginTerm(currentLeader);
    } else if (term.value && (!currentLeader || currentLeader.version > term.value.term)) {
      term.next(null);
    }
  }

  private beginTerm({ version, leaseId }: LeaderRecord & { version: number }): void {
    const electedAt = this.options.runtime.clock.now();
    this.term.next({ shard: this.options.shard, term: version, leaseId, electedAt });
  }
}
