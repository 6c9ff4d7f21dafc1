/** Standby renewal: a follower renews worker leases in an outage, by all that this controller knows. */
import type { LeaderLeaseLimits } from './leader-lease-check.js';
import type { PeerStatus } from '../peers/peer-status.js';
import type { ControllerServices } from '../services.js';
import { StandbyRenewalCheck, StandbyView } from './standby-renewal-check.js';
import type { StatusExchange } from '../peers/status-exchange.js';

type Services = Pick<ControllerServices, 'runtime' | 'client' | 'jobs' | 'election' | 'log'>;

/** What standby renewal is decided from. */
export interface StandbyRenewalOptions extends Services {
  limits: LeaderLeaseLimits;
  statuses: StatusExchange;
}

/** Decides whether worker leases are renewed here for a leader that has ended; a new term begins with a new check. */
export class StandbyRenewal {
  private check: StandbyRenewalCheck;
  /** The term that the check was made for; 0 before the first. */
  private term = 0;
  /** The term in whose name leases were renewed last, for the log. */
  private renewingTerm: number | null = null;

  constructor(private readonly options: StandbyRenewalOptions) {
    this.check = new StandbyRenewalCheck(options.limits);
  }

  /** To be called whenever a peer's statement has come. */
  recordStatus(): void {
    this.followElection();
    this.check.record(this.view(), this.leaderStatus());
  }

  /** The term in whose name heartbeats may be answered now, or null. */
  renewableTerm(): number | null {
    this.followElection();
    const mayRenew = this.term > 0 && this.check.mayRenew(this.view(), this.leaderStatus());
    const term = mayRenew ? this.term : null;
    if (term !== this.renewingTerm) {
      this.options.log.info({ term: this.term, renewing: mayRenew }, 'standby renewal changed');
      this.renewingTerm = term;
    }
    return term;
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
