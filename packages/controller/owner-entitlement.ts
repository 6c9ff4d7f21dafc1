import { Entitlement, EntitlementJudge, EntitlementLimits } from './entitlement.js';
import type { PartOwner } from './owner.js';
import type { PlatformSettings } from './platform-settings.js';
import type { ControllerServices } from './services.js';
import type { StatusExchange } from './status-exchange.js';
import { graceAfterLoss } from './time-bounds.js';

/** Report periods after which a peer that was not heard counts as out of reach. */
const SILENCE_PERIODS = 2;

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'client' | 'jobs' | 'ownership'>;

export interface OwnerEntitlementOptions extends Services {
  limits: EntitlementLimits;
  statuses: StatusExchange;
}

/** Judges the present owner by all that this controller knows. */
export class OwnerEntitlement {
  /** The term that the judge was made for. */
  private term = 0;
  private judge: EntitlementJudge;

  constructor(private readonly options: OwnerEntitlementOptions) {
    this.judge = new EntitlementJudge(options.limits);
  }

  /** Whether the owner may answer workers now; null if nothing is owned here. */
  of(owner: PartOwner | null): Entitlement {
    if (owner === null) return 'none';
    if (owner.term.term !== this.term) {
      this.term = owner.term.term;
      this.judge = new EntitlementJudge(this.options.limits);
    }
    const { runtime, client, jobs, ownership, statuses } = this.options;
    return this.judge.judge({
      now: runtime.clock.now(),
      term: owner.term.term,
      grantedUntil: ownership.provenUntil,
      grantAliveAt: ownership.soleAt,
      jobsCurrentAt: jobs.cache.syncedAt,
      jobsRevision: jobs.cache.completeTo,
      failingSince: client.failingSince,
      peers: statuses.statuses(),
    });
  }
}

/** How many peers must be heard, and how old what they state may be. */
export function entitlementLimits({ deployment }: PlatformSettings): EntitlementLimits {
  const { nodes, workers } = deployment;
  return {
    peerCount: nodes - 1,
    silenceS: SILENCE_PERIODS * workers.report_s,
    graceS: graceAfterLoss(workers.cancel_s, workers.lease_s, workers.report_s),
  };
}
