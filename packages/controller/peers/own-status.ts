/** Reads the fields of the status frames that this controller sends to its peers. */
import type { FollowerHeartbeats } from '../heartbeats/follower-heartbeats.js';
import type { ControllerServices } from '../services.js';
import type { OwnStatus } from './status-exchange.js';

/** Sources of the status fields. */
export interface OwnStatusSources extends Pick<ControllerServices, 'client' | 'jobs' | 'election'> {
  followerHeartbeats: FollowerHeartbeats;
  /** Whether a leader runs in this process. */
  isLeading: () => boolean;
  /** The largest fencing token that the leader of this process may hand out; 0 if there is no leader. */
  newestFencingToken: () => number;
  /** Whether a leader runs in this process and hardly any of its workers reach it. */
  isUnreachable: (now: number) => boolean;
}

/** Reads the status of this controller. `now` is in seconds of the monotonic clock. */
export function readOwnStatus(sources: OwnStatusSources, now: number): OwnStatus {
  const { client, jobs, election, followerHeartbeats } = sources;
  return {
    servedAgoMs: (now - client.lastSuccessAt) * 1000,
    refused: client.isFailing,
    loaded: jobs.cache.isLoaded,
    leading: sources.isLeading(),
    mayLead: election.mayLead,
    newestLeader: election.newestLeader,
    unreachable: sources.isUnreachable(now),
    followerHeartbeats: followerHeartbeats.count(),
    newestFencingToken: client.isFailing ? sources.newestFencingToken() : 0,
    jobsRevision: jobs.cache.revision,
  };
}
