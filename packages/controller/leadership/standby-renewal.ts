import type { LeaderLeaseLimits } from './leader-lease-check.js';
import type { PeerStatus } from '../peers/peer-status.js';
import type { ControllerServices } from '../services.js';
import { StandbyRenewalCheck, StandbyView } from './standby-renewal-check.js';
import type { StatusExchange } from '../peers/status-exchange.js';

type Services = Pick<ControllerServices, 'runtime' | 'client' | 'jobs' | 'election' | 'log'>;

export interface StandbyRenewalOptions extends Services {
  limits: LeaderLeaseLimits;
  statuses: StatusExchange;
}

/** Renews workers' leases for an owner that has ended in an outage, by all that this controller knows. */
export class StandbyRenewal {
  private check: StandbyRenewalCheck;
  /** The term that the judge was made for. */
  private term = 0;
  /** The term in whose name leases were renewed last, for the log. */
  private renewing: number | null = null;

  constructor(private readonly options: StandbyRenewalOptions) {
    this.check = new StandbyRenewalCheck(options.limits);
  }

  /** To be called whenever a peer's statement has come. */
  recordStatus(): void {
    this.follow();
    this.check.record(this.view(), this.leader());
  }

  /** The term in whose name reports may be answered now, or null. */
  renewableTerm(): number | null {
    this.follow();
    const may = this.term > 0 && this.check.mayRenew(this.view(), this.leader());
    const term = may ? this.term : null;
    if (term !== this.renewing) {
      this.options.log.info({ term: this.term, renewing: may }, 'standby renewal changed');
      this.renewing = term;
    }
    return term;
  }

  private follow(): void {
    const { term } = this.options.election.newestLeader;
    if (term === this.term) return;
    this.term = term;
    this.check = new StandbyRenewalCheck(this.options.limits);
  }

  private leader(): PeerStatus | null {
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
      jobsRevision: jobs.cache.completeTo,
      failingSince: client.failingSince,
      peers: statuses.statuses(),
    };
  }
}
