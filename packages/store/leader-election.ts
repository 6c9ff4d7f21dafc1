/** Leader election of one shard: campaigns for its leader key, and tracks the terms of this controller. */
import { BehaviorSubject } from 'rxjs';
import { NoAnswer, type Runtime, WakeableWait, type WatchEvent } from '#wire';
import { decodeLeader, encodeLeader, type LeaderRecord } from './codecs/leader-codec.js';
import { ElectionLease } from './election-lease.js';
import type { PrefixCache } from './prefix-cache.js';
import { shardKey } from './record-keys.js';
import type { StateClient } from './state-client.js';

/** Fraction of the lease's TTL for which a controller defers its campaign in favour of better candidates. */
const CAMPAIGN_DEFERRAL = 1 / 8;
/** Election steps per TTL of the lease: as leader, as follower, and while the shard has no leader. */
const LEADER_STEPS_PER_TTL = 5;
const FOLLOWER_STEPS_PER_TTL = 3;
const LEADERLESS_STEPS_PER_TTL = 20;
/** Each pause is multiplied by a random factor of this minimum and range, so that controllers do not synchronise. */
const MIN_JITTER = 0.8;
const JITTER_RANGE = 0.4;

/** A period in which one controller leads a shard. */
export interface Term {
  shard: number;
  /** Version of the leader key, which increases with every election. */
  term: number;
  /** ID of the election lease to which the leader key is attached. */
  leaseId: number;
  /** When this controller learned that it was elected, in seconds of the monotonic clock. */
  electedAt: number;
}

/** State of a planned shard migration that affects the leadership; set by the code that executes the migration. */
export interface LeadershipTransfer {
  /** Time from which a successor may lead without our knowledge, in seconds of the monotonic clock; null if none may. */
  successorPossibleSince: number | null;
  /** Whether a transaction that makes this controller the leader was sent and may still be executed. */
  mayTakeShard: boolean;
}

/** Dependencies and settings of a `LeaderElection`. */
export interface LeaderElectionOptions {
  client: StateClient;
  runtime: Runtime;
  /** Cache that contains the leader key. */
  cache: PrefixCache;
  /** Name of this controller. */
  name: string;
  shard: number;
  /** TTL of the election lease. */
  ttlS: number;
  /** Whether other controllers would be better leaders now, so that this one campaigns later. */
  defersCampaign?: () => boolean;
}

/**
 * Maintains an election lease, and campaigns for the leader key of a shard whenever the shard has no
 * leader. The lease's ID distinguishes incarnations of a controller, so a controller that restarts
 * immediately does not continue the term of its predecessor.
 */
export class LeaderElection {
  /** The current term of this controller; null while it is a follower. */
  readonly term = new BehaviorSubject<Term | null>(null);
  /** The latest known value of the leader key; null while the shard has no leader. */
  currentLeader: (LeaderRecord & { version: number }) | null = null;
  /** The latest known leader, which may have stopped leading; term 0 if there was none. */
  newestLeader = { term: 0, name: '' };
  /** Whether a campaign transaction may still be executed: it was sent, and no leader was observed since. */
  private campaignPending = false;
  /** State of a planned leadership transfer. */
  readonly transfer: LeadershipTransfer = { successorPossibleSince: null, mayTakeShard: false };
  private readonly lease: ElectionLease;
  /** No campaign before this time, so that another controller is elected; seconds of the monotonic clock. */
  private campaignAfter = -Infinity;
  /** Length of the campaign pause that was set when this controller resigned. */
  private campaignPauseS = 0;
  /** When the shard was last observed to lose its leader, in seconds of the monotonic clock. */
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

  /** Time until which the lease guarantees that no other controller leads, in seconds of the monotonic clock. */
  get soleLeaderUntil(): number {
    return this.capByTransfer(this.lease.validUntil);
  }

  /** Latest time at which the lease proved that no other controller led, in seconds of the monotonic clock. */
  get soleLeaderAt(): number {
    return this.capByTransfer(this.lease.renewedAt);
  }

  /** ID of a lease that certainly lives, to which the leader key can be attached; null if there is none. */
  get validLeaseId(): number | null {
    const isAlive = this.options.runtime.clock.now() < this.lease.validUntil;
    return isAlive ? this.lease.id : null;
  }

  /** Whether this controller leads, or may have been elected without knowing it yet. */
  get mayLead(): boolean {
    return this.term.value !== null || this.campaignPending || this.transfer.mayTakeShard;
  }

  /** Runs the election until the signal aborts; never rejects. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.step(signal);
      } catch {
        // The request was refused or got no answer. The term lasts until the service reports its end.
        this.extendCampaignPause();
      }
      const jitter = MIN_JITTER + this.options.runtime.random() * JITTER_RANGE;
      await this.stepPause.wait(this.stepPauseS() * 1000 * jitter, signal);
    }
  }

  /**
   * Ends the term immediately, for example when this controller's own records were not as expected, and
   * suspends campaigns for `pauseS` seconds.
   */
  resign(pauseS = 0): void {
    this.campaignAfter = this.options.runtime.clock.now() + pauseS;
    this.campaignPauseS = pauseS;
    this.lease.revoke();
    this.term.next(null);
  }

  /**
   * Caps a time for which the lease proves sole leadership. From the time at which a transfer allows a successor to
   * lead, the lease proves nothing, although it may still be alive.
   */
  private capByTransfer(provenAt: number): number {
    return Math.min(provenAt, this.transfer.successorPossibleSince ?? Infinity);
  }

  /** Restarts the campaign pause: other controllers cannot campaign in an outage either, so it must outlast that. */
  private extendCampaignPause(): void {
    const now = this.options.runtime.clock.now();
    if (now < this.campaignAfter) this.campaignAfter = now + this.campaignPauseS;
  }

  /** Pause between steps: short for a leader, to renew in time, and shortest while the shard has no leader. */
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
    // If this controller resigned after the renewal, there is no lease to which the key could be attached.
    const leaseId = this.lease.id;
    if (leaseId !== null) await this.campaign(leaseId, signal);
  }

  /** Renews or obtains the lease. Returns false if it was replaced, or has ended, which ends the term, too. */
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

  /** Earliest time at which this controller may campaign, in seconds of the monotonic clock. */
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
        // Applied through the cache, which then ignores older events that the watch still delivers.
        cache.applyLocal(key, value, outcome.revision);
      } else if ('leaseGone' in outcome) {
        this.lease.id = null;
      }
      this.campaignPending = false;
    } catch (error) {
      // A late campaign shows up in the watch. Its key belongs to our lease, or is removed with its lease.
      if (error instanceof NoAnswer) return;
      this.campaignPending = false;
      throw error;
    }
  }

  private observeLeaderKey({ value, version }: WatchEvent): void {
    this.currentLeader = value ? { ...decodeLeader(value), version } : null;
    if (this.currentLeader) {
      this.newestLeader = { term: version, name: this.currentLeader.leader };
      // A campaign that is not executed yet fails while the key exists.
      this.campaignPending = false;
    } else {
      this.leaderlessSince = this.options.runtime.clock.now();
    }
    this.updateTerm();
    this.stepPause.wake();
  }

  /**
   * Begins a term if the leader key is attached to this controller's lease. Otherwise ends the current term if the key
   * was removed or belongs to a newer leader.
   */
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
