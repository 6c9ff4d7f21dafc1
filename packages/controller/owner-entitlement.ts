import { Entitlement, EntitlementJudge } from './entitlement.js';
import type { PartOwner } from './owner.js';
import type { ControllerServices } from './services.js';
import type { StatusExchange } from './status-exchange.js';
import { graceAfterLoss } from './time-bounds.js';

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'client' | 'jobs' | 'ownership'>;

export interface OwnerEntitlementOptions extends Services {
  statuses: StatusExchange;
}

/** Judges the present owner by all that this controller knows. */
export class OwnerEntitlement {
  /** Whom the judge was made for. */
  private judged: PartOwner | null = null;
  private judge: EntitlementJudge;

  constructor(private readonly options: OwnerEntitlementOptions) {
    this.judge = this.makeJudge();
  }

  /** Whether the owner may answer workers now; null if nothing is owned here. */
  of(owner: PartOwner | null): Entitlement {
    if (owner === null) return 'none';
    if (owner !== this.judged) {
      this.judged = owner;
      this.judge = this.makeJudge();
    }
    const { runtime, client, jobs, ownership, statuses } = this.options;
    return this.judge.judge({
      now: runtime.clock.now(),
      term: owner.term.term,
      grantedUntil: ownership.provenUntil,
      grantAliveAt: ownership.renewedAt,
      jobsCurrentAt: jobs.cache.syncedAt,
      jobsRevision: jobs.cache.completeTo,
      failingSince: client.failingSince,
      peers: statuses.statuses(),
    });
  }

  private makeJudge(): EntitlementJudge {
    const { nodes, workers } = this.options.settings.deployment;
    return new EntitlementJudge({
      peerCount: nodes - 1,
      silenceS: 2 * workers.report_s,
      graceS: graceAfterLoss(workers.cancel_s, workers.lease_s, workers.report_s),
    });
  }
}
