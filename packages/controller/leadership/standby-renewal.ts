/** Standby renewal: lets a follower renew worker leases while the state service is unavailable. */
import type { LeaderLeaseLimits } from './leader-lease-check.js';
import type { PeerStatus } from '../peers/peer-status.js';
import type { ControllerServices } from '../services.js';
import { StandbyRenewalCheck, StandbyView } from './standby-renewal-check.js';
import type { StatusExchange } from '../peers/status-exchange.js';

type Services = Pick<ControllerServices, 'runtime' | 'client' | 'jobs' | 'election' | 'log'>;

/** Dependencies of standby renewal. */
export interface StandbyRenewalOptions extends Services {
  limits: LeaderLeaseLimits;
  statuses: StatusExchange;
}

/** The term of an ended leader, for which a standby may answer heartbeats. */
export interface RenewableTerm {
  term: number;
  /** The largest fencing token of the term that the standby knows of. A larger one may be a newer leader's. */
  newestFencingToken: number;
}

/** Decides whether this controller renews worker leases for a leader that has ended. Each term starts a new check. */
export class StandbyRenewal {
  private check: StandbyRenewalCheck;
  /** The term of the current check; 0 before the first term. */
  private term = 0;
  /** The latest result of `renewableTerm`, kept to log changes; null if renewal was not allowed. */
  private renewingTerm: number | null = null;

  constructor(private readonly options: StandbyRenewalOptions) {
    this.check = new StandbyRenewalCheck(options.limits);
  }

  /** Must be called whenever the status of a peer has arrived. */
  recordStatus(): void {
    this.followElection();
    this.check.record(this.view(), this.leaderStatus());
  }

  /** The term on behalf of whose leader heartbeats may be answered now; null if they may not be answered. */
  renewableTerm(): RenewableTerm | null {
    this.followElection();
    const mayRenew = this.term > 0 && this.check.mayRenew(this.view(), this.leaderStatus());
    const term = mayRenew ? this.term : null;
    if (term !== this.renewingTerm) {
      this.options.log.info({ term: this.term, renewing: mayRenew }, 'standby renewal changed');
      this.renewingTerm = term;
    }
    if (term === null) return null;
    return { term, newestFencingToken: Math.max(term, this.check.newestFencingToken) };
  }

  private followElection(): void {
    const { term } = this.options.election.newestLeader;
    if (term === this.term) return;
    this.term = term;
    this.check = new StandbyRenewalCheck(this.options.limits);
  }

  private leaderStatus(): PeerStatus | null {
    const { statuses, election } = this.options;
    return statuses.statusOf(election.newestLeader.name);
  }

  private view(): StandbyView {
    const { runtime, client, jobs, election, statuses } = this.options;
    return {
      now: runtime.clock.now(),
      term: this.term,
      mayLead: election.mayLead,
      jobsCurrentAt: jobs.cache.syncedAt,
      jobsRevision: jobs.cache.revision,
      failingSince: client.failingSince,
      peers: statuses.statuses(),
    };
  }
}
