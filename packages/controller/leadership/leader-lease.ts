/** Decides whether the leader in this controller may still act, from the election, the job cache and the peers. */
import {
  LeaderLeaseCheck,
  type LeaderLeaseLimits,
  type LeaderLeaseState,
} from './leader-lease-check.js';
import type { ShardLeader } from './shard-leader.js';
import type { PlatformSettings } from '../settings/platform-settings.js';
import type { ControllerServices } from '../services.js';
import type { StatusExchange } from '../peers/status-exchange.js';
import { leaderGraceS } from '../settings/time-bounds.js';

/** Heartbeat intervals without a status after which a peer counts as unreachable. */
const SILENCE_INTERVALS = 2;

type Services = Pick<ControllerServices, 'runtime' | 'client' | 'jobs' | 'election'>;

/** Sources from which the state of the leader lease is computed. */
export interface LeaderLeaseOptions extends Services {
  limits: LeaderLeaseLimits;
  statuses: StatusExchange;
}

/** The leader lease of this controller. Each term starts with a new check. */
export class LeaderLease {
  /** The term of the current check; 0 before the first term. */
  private term = 0;
  private check: LeaderLeaseCheck;

  constructor(private readonly options: LeaderLeaseOptions) {
    this.check = new LeaderLeaseCheck(options.limits);
  }

  /** Returns the current state of the leader lease; `none` if this controller does not lead. */
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
      leaseProvenUntil: election.soleLeaderUntil,
      leaseRenewedAt: election.soleLeaderAt,
      jobsCurrentAt: jobs.cache.syncedAt,
      jobsRevision: jobs.cache.revision,
      failingSince: client.failingSince,
      peers: statuses.statuses(),
    });
  }
}

/**
 * Derives the bounds of the leader lease: how many peers must attest, how old the status of a peer may be, and how
 * long a leader may act without proof.
 */
export function leaderLeaseLimits({ deployment }: PlatformSettings): LeaderLeaseLimits {
  const { nodes, workers } = deployment;
  return {
    peerCount: nodes - 1,
    silenceS: SILENCE_INTERVALS * workers.report_s,
    graceS: leaderGraceS(workers.cancel_s, workers.lease_s, workers.report_s),
  };
}
