import type { EntitlementLimits } from './entitlement.js';
import type { PeerStatus } from './peer-status.js';
import type { ControllerServices } from './services.js';
import { StandbyJudge, StandbyView } from './standby.js';
import type { StatusExchange } from './status-exchange.js';

type Services = Pick<
  ControllerServices,
  'runtime' | 'settings' | 'client' | 'jobs' | 'ownership' | 'log'
>;

export interface StandbyRenewalOptions extends Services {
  limits: EntitlementLimits;
  statuses: StatusExchange;
}

/** Renews workers' leases for an owner that has ended in an outage, by all that this controller knows. */
export class StandbyRenewal {
  private judge: StandbyJudge;
  /** The term that the judge was made for. */
  private term = 0;
  /** The term in whose name leases were renewed last, for the log. */
  private renewing: number | null = null;

  constructor(private readonly options: StandbyRenewalOptions) {
    this.judge = new StandbyJudge(options.limits);
  }

  /** To be called whenever a peer's statement has come. */
  note(): void {
    this.follow();
    this.judge.note(this.view(), this.owner());
  }

  /** The term in whose name reports may be answered now, or null. */
  renewableTerm(): number | null {
    this.follow();
    const may = this.term > 0 && this.judge.mayRenew(this.view(), this.owner());
    const term = may ? this.term : null;
    if (term !== this.renewing) {
      this.options.log.info({ term: this.term, renewing: may }, 'standby');
      this.renewing = term;
    }
    return term;
  }

  private follow(): void {
    const { term } = this.options.ownership.newestHolder;
    if (term === this.term) return;
    this.term = term;
    this.judge = new StandbyJudge(this.options.limits);
  }

  private owner(): PeerStatus | null {
    const { statuses, ownership } = this.options;
    return statuses.statusOf(ownership.newestHolder.name);
  }

  private view(): StandbyView {
    const { runtime, client, jobs, ownership, statuses } = this.options;
    return {
      now: runtime.clock.now(),
      term: this.term,
      mayOwn: ownership.mayOwn,
      jobsCurrentAt: jobs.cache.syncedAt,
      jobsRevision: jobs.cache.completeTo,
      failingSince: client.failingSince,
      peers: statuses.statuses(),
    };
  }
}
