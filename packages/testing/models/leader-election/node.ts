/** One controller of the model, which runs the production code's checks of the leader lease. */
import {
  Cancellations,
  LeaderLeaseCheck,
  type LeaderLeaseLimits,
  type PeerStatus,
  PeerStatusTable,
  StandbyRenewalCheck,
  type StandbyView,
} from '#controller';
import type { StatusFrame } from '#peer';
import type { Campaign, ServiceModel } from './service.js';
import { CANCEL_S, GRACE_S, ELECTION_LEASE_S, SILENCE_S } from './timing.js';

/** What a node relies on: the latest statement of each peer, and of the newest leader that it saw. */
export interface Statements {
  peers: (PeerStatus | null)[];
  leader: PeerStatus | null;
}

/** One incarnation of a controller. */
export class NodeModel {
  readonly table: PeerStatusTable;
  readonly cancellations = new Cancellations(1000, 2 * CANCEL_S);
  judge: LeaderLeaseCheck | null = null;
  term = 0;
  renewedAt = -Infinity;
  jobsCurrentAt = -Infinity;
  jobsRevision = 0;
  /** The newest leader that was seen. */
  leader = { term: 0, name: '' };
  loaded = false;
  refused = false;
  lastOkAt = -Infinity;
  failingSince = Infinity;
  frozenUntil = -Infinity;
  private standby: StandbyRenewalCheck;
  private readonly limits: LeaderLeaseLimits;

  constructor(
    readonly name: string,
    readonly incarnation: number,
    peers: string[],
  ) {
    this.table = new PeerStatusTable(incarnation, peers);
    this.limits = { peerCount: peers.length, silenceS: SILENCE_S, graceS: GRACE_S };
    this.standby = new StandbyRenewalCheck(this.limits);
  }

  contact(service: ServiceModel, served: boolean, now: number): void {
    if (!served) {
      if (!this.refused) this.failingSince = now;
      this.refused = true;
      return;
    }
    this.refused = false;
    this.failingSince = Infinity;
    this.lastOkAt = now;
    service.renew(this.incarnation, now);
    this.renewedAt = now;
    this.readJobs(service, now);
    if (service.leader === null) service.campaign(this.name, this.incarnation, now);
    this.follow(service.leader);
  }

  private readJobs(service: ServiceModel, now: number): void {
    for (const { job, revision } of service.cancelled) {
      if (revision > this.jobsRevision) this.cancellations.addRecorded(job, revision);
    }
    this.jobsRevision = service.revision;
    this.jobsCurrentAt = now;
    this.loaded = true;
  }

  private follow(leader: Campaign | null): void {
    if (leader !== null && leader.term !== this.leader.term) {
      this.leader = { term: leader.term, name: leader.node };
      this.standby = new StandbyRenewalCheck(this.limits);
    }
    const own = leader !== null && leader.incarnation === this.incarnation;
    if (!own) {
      this.judge = null;
      this.term = 0;
    } else if (this.term !== leader.term) {
      this.term = leader.term;
      this.judge = new LeaderLeaseCheck(this.limits);
    }
  }

  /** A peer has seen a newer leader, so the own term is over. */
  yieldTo(term: number): void {
    if (term <= this.term) return;
    this.judge = null;
    this.term = 0;
  }

  statusFor(peer: string, sequence: number, now: number): StatusFrame {
    const { incarnation, refused, loaded, leader, jobsRevision } = this;
    const basis = this.table.get(peer)?.frame.jobsRevision ?? 0;
    const list = this.cancellations.listSince(basis, now);
    return {
      kind: 'status',
      incarnation,
      sequence,
      echo: this.table.echoFor(peer),
      servedAgoMs: (now - this.lastOkAt) * 1000,
      refused,
      loaded,
      leading: this.judge !== null,
      mayLead: this.judge !== null,
      newestLeader: leader,
      unreachable: false,
      followerHeartbeats: 0,
      jobsRevision,
      cancelledSince: list.since,
      cancelled: list.cancelled,
    };
  }

  leaderLease(now: number, { peers }: Statements) {
    return this.judge?.evaluate({
      now,
      term: this.term,
      leaseProvenUntil: this.renewedAt + ELECTION_LEASE_S * 0.95,
      leaseRenewedAt: this.renewedAt,
      jobsCurrentAt: this.jobsCurrentAt,
      jobsRevision: this.jobsRevision,
      failingSince: this.failingSince,
      peers,
    });
  }

  /** A peer's statement has come. */
  recordStandby(now: number, statements: Statements): void {
    this.standby.record(this.standbyView(now, statements), statements.leader);
  }

  /** Whether this node renews leases for the leader of the term that it saw last. */
  renews(now: number, statements: Statements): boolean {
    return this.standby.mayRenew(this.standbyView(now, statements), statements.leader);
  }

  private standbyView(now: number, { peers }: Statements): StandbyView {
    return {
      now,
      term: this.leader.term,
      mayLead: this.judge !== null,
      jobsCurrentAt: this.jobsCurrentAt,
      jobsRevision: this.jobsRevision,
      failingSince: this.failingSince,
      peers,
    };
  }

  knows(job: string): boolean {
    return this.cancellations.listSince(0, 0).cancelled.some((notice) => notice.job === job);
  }
}
