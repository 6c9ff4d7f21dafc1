/** Whether the leader here may still act, by all that this controller knows. */
import {
  LeaderLeaseCheck,
  type LeaderLeaseLimits,
  type LeaderLeaseState,
} from './leader-lease-check.js';
import type { ShardLeader } from './shard-leader.js';
import type { PlatformSettings } from '../settings/platform-settings.js';
import type { ControllerServices } from '../services.js';
import type { StatusExchange } from '../peers/status-exchange.js';
import { graceAfterLoss } from '../settings/time-bounds.js';

/** Heartbeat intervals without a statement after which a peer counts as unreachable. */
const SILENCE_INTERVALS = 2;

type Services = Pick<ControllerServices, 'runtime' | 'client' | 'jobs' | 'election'>;

/** What the state of a leader lease is drawn from. */
export interface LeaderLeaseOptions extends Services {
  limits: LeaderLeaseLimits;
  statuses: StatusExchange;
}

/** The lease of the leader here; a new term begins with a new check. */
export class LeaderLease {
  /** The term that the check was made for; 0 before the first. */
  private term = 0;
  private check: LeaderLeaseCheck;

  constructor(private readonly options: LeaderLeaseOptions) {
    this.check = new LeaderLeaseCheck(options.limits);
  }

  /** Whether the leader may act now; `none` if this controller does not lead. */
  evaluate(leader: Pick<ShardLeader, 'term'> | null): LeaderLeaseState {
    if (leader === null) return 'none';
    const { term } = leader.term;
    if (term !== this.term) {
      this.term = term;
      this.check = new LeaderLeaseCheck(this.options.limits);
    }
    const { runtime, client, jobs, election, statuses } = this.options;
    return this.check.evaluate({
      now: runtime.clock.now(),
      term,
      leaseProvenUntil: election.provenUntil,
      leaseRenewedAt: election.soleLeaderAt,
      jobsCurrentAt: jobs.cache.syncedAt,
      jobsRevision: jobs.cache.revision,
      failingSince: client.failingSince,
      peers: statuses.statuses(),
    });
  }
}

/** How many peers must attest, how old their statements may be, and how long a leader goes on without them. */
export function leaderLeaseLimits({ deployment }: PlatformSettings): LeaderLeaseLimits {
  const { nodes, workers } = deployment;
  return {
    peerCount: nodes - 1,
    silenceS: SILENCE_INTERVALS * workers.report_s,
    graceS: graceAfterLoss(workers.cancel_s, workers.lease_s, workers.report_s),
  };
}
