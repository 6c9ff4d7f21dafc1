import { LeaderLeaseState, LeaderLeaseCheck, LeaderLeaseLimits } from './leader-lease-check.js';
import type { ShardLeader } from './shard-leader.js';
import type { PlatformSettings } from '../settings/platform-settings.js';
import type { ControllerServices } from '../services.js';
import type { StatusExchange } from '../peers/status-exchange.js';
import { graceAfterLoss } from '../settings/time-bounds.js';

/** Report periods after which a peer that was not heard counts as out of reach. */
const SILENCE_PERIODS = 2;

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'client' | 'jobs' | 'election'>;

export interface LeaderLeaseOptions extends Services {
  limits: LeaderLeaseLimits;
  statuses: StatusExchange;
}

/** Judges the present owner by all that this controller knows. */
export class LeaderLease {
  /** The term that the judge was made for. */
  private term = 0;
  private check: LeaderLeaseCheck;

  constructor(private readonly options: LeaderLeaseOptions) {
    this.check = new LeaderLeaseCheck(options.limits);
  }

  /** Whether the owner may answer workers now; null if nothing is owned here. */
  stateFor(leader: ShardLeader | null): LeaderLeaseState {
    if (leader === null) return 'none';
    if (leader.term.term !== this.term) {
      this.term = leader.term.term;
      this.check = new LeaderLeaseCheck(this.options.limits);
    }
    const { runtime, client, jobs, election, statuses } = this.options;
    return this.check.evaluate({
      now: runtime.clock.now(),
      term: leader.term.term,
      leaseProvenUntil: election.provenUntil,
      leaseRenewedAt: election.soleLeaderAt,
      jobsCurrentAt: jobs.cache.syncedAt,
      jobsRevision: jobs.cache.completeTo,
      failingSince: client.failingSince,
      peers: statuses.statuses(),
    });
  }
}

/** How many peers must be heard, and how old what they state may be. */
export function leaderLeaseLimits({ deployment }: PlatformSettings): LeaderLeaseLimits {
  const { nodes, workers } = deployment;
  return {
    peerCount: nodes - 1,
    silenceS: SILENCE_PERIODS * workers.report_s,
    graceS: graceAfterLoss(workers.cancel_s, workers.lease_s, workers.report_s),
  };
}
