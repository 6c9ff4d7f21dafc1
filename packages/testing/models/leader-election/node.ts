/** A controller of the model: it runs the production code that checks the leader lease. */
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

/** The statuses that a node decides by: the latest one of each peer, and that of the newest leader it has seen. */
export interface ObservedStatuses {
  peers: (PeerStatus | null)[];
  leader: PeerStatus | null;
}

/** One incarnation of a controller. */
export class NodeModel {
  readonly statusTable: PeerStatusTable;
  readonly cancellations = new Cancellations(1000, 2 * CANCEL_S);
  leaseCheck: LeaderLeaseCheck | null = null;
  term = 0;
  renewedAt = -Infinity;
  jobsCurrentAt = -Infinity;
  jobsRevision = 0;
  /** The newest leader that this node has seen. */
  leader = { term: 0, name: '' };
  jobsLoaded = false;
  refused = false;
  lastServedAt = -Infinity;
  failingSince = Infinity;
  frozenUntil = -Infinity;
  private standbyCheck: StandbyRenewalCheck;
  private readonly limits: LeaderLeaseLimits;

  constructor(
    readonly name: string,
    readonly incarnation: number,
    peers: string[],
  ) {
    this.statusTable = new PeerStatusTable(incarnation, peers);
    this.limits = { peerCount: peers.length, silenceS: SILENCE_S, graceS: GRACE_S };
    this.standbyCheck = new StandbyRenewalCheck(this.limits);
  }

  contactService(service: ServiceModel, served: boolean, now: number): void {
    if (!served) {
      if (!this.refused) this.failingSince = now;
      this.refused = true;
      return;
    }
    this.refused = false;
    this.failingSince = Infinity;
    this.lastServedAt = now;
    service.renew(this.incarnation, now);
    this.renewedAt = now;
    this.readJobs(service, now);
    if (service.leader === null) service.campaign(this.name, this.incarnation, now);
    this.observeLeader(service.leader);
  }

  private readJobs(service: ServiceModel, now: number): void {
    for (const { job, revision } of service.cancelled) {
      if (revision > this.jobsRevision) this.cancellations.addRecorded(job, revision);
    }
    this.jobsRevision = service.revision;
    this.jobsCurrentAt = now;
    this.jobsLoaded = true;
  }

  private observeLeader(leader: Campaign | null): void {
    if (leader !== null && leader.term !== this.leader.term) {
      this.leader = { term: leader.term, name: leader.node };
      this.standbyCheck = new StandbyRenewalCheck(this.limits);
    }
    const own = leader !== null && leader.incarnation === this.incarnation;
    if (!own) {
      this.leaseCheck = null;
      this.term = 0;
    } else if (this.term !== leader.term) {
      this.term = leader.term;
      this.leaseCheck = new LeaderLeaseCheck(this.limits);
    }
  }

  /** Ends this node's term if a peer has seen a leader of a newer term. */
  stepDownFor(term: number): void {
    if (term <= this.term) return;
    this.leaseCheck = null;
    this.term = 0;
  }

  statusFor(peer: string, sequence: number, now: number): StatusFrame {
    const { incarnation, refused, jobsLoaded, leader, jobsRevision } = this;
    const sinceRevision = this.statusTable.get(peer)?.frame.jobsRevision ?? 0;
    const cancellationList = this.cancellations.listSince(sinceRevision, now);
    return {
      kind: 'status',
      incarnation,
      sequence,
      echo: this.statusTable.echoFor(peer),
      servedAgoMs: (now - this.lastServedAt) * 1000,
      refused,
      loaded: jobsLoaded,
      leading: this.leaseCheck !== null,
      mayLead: this.leaseCheck !== null,
      newestLeader: leader,
      unreachable: false,
      followerHeartbeats: 0,
      newestFencingToken: 0,
      jobsRevision,
      cancelledSince: cancellationList.since,
      cancelled: cancellationList.cancelled,
    };
  }

  leaderLease(now: number, { peers }: ObservedStatuses) {
    return this.leaseCheck?.evaluate({
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

  /** Updates the standby check after a peer's status has arrived. */
  recordStatuses(now: number, statuses: ObservedStatuses): void {
    this.standbyCheck.record(this.viewForStandbyCheck(now, statuses), statuses.leader);
  }

  /** Whether this node renews worker leases for the newest leader that it has seen. */
  renewsForLeader(now: number, statuses: ObservedStatuses): boolean {
    return this.standbyCheck.mayRenew(this.viewForStandbyCheck(now, statuses), statuses.leader);
  }

  private viewForStandbyCheck(now: number, { peers }: ObservedStatuses): StandbyView {
    return {
      now,
      term: this.leader.term,
      mayLead: this.leaseCheck !== null,
      jobsCurrentAt: this.jobsCurrentAt,
      jobsRevision: this.jobsRevision,
      failingSince: this.failingSince,
      peers,
    };
  }

  knowsCancellation(job: string): boolean {
    return this.cancellations.listSince(0, 0).cancelled.some((notice) => notice.job === job);
  }
}
