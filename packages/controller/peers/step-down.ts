/** Decides when the leader of this process steps down in favour of another controller. */
import type { StatusFrame } from '#peer';
import { REACHABLE_INTERVALS } from '../heartbeats/follower-heartbeats.js';
import { countReachable, type WorkerCounts } from '../heartbeats/reachable-workers.js';
import { WorkerSilence } from '../heartbeats/worker-silence.js';
import { isIsolatedFromWorkers, reachesFewWorkers } from '../leadership/leader-lease-check.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { ControllerServices } from '../services.js';
import { CURRENT_STATUS_INTERVALS, isReachable, type PeerStatus } from './peer-status.js';
import type { StatusExchange } from './status-exchange.js';

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'client' | 'election' | 'log'>;

/** Dependencies of a `StepDownMonitor`. */
export interface StepDownMonitorOptions extends Services {
  statuses: StatusExchange;
  /** Seconds between two calls of `checkIsolation`. */
  checkIntervalS: number;
  /** The leader that runs in this process; null while this controller is a follower. */
  leader: () => ShardLeader | null;
}

/**
 * Resigns the leadership if a newer leader is known, or if the workers reach other controllers but not
 * this one. No other controller relies on the resignation; it lets the workers find the next leader early.
 */
export class StepDownMonitor {
  private readonly heartbeatIntervalS: number;
  private readonly workerSilence: WorkerSilence;

  constructor(private readonly options: StepDownMonitorOptions) {
    this.heartbeatIntervalS = options.settings.deployment.workers.report_s;
    this.workerSilence = new WorkerSilence({
      heartbeatIntervalS: this.heartbeatIntervalS,
      sampleIntervalS: options.checkIntervalS,
    });
  }

  /** Steps down if a peer has seen a newer leader, since the term of this process's leader has then ended. */
  checkNewestLeader(newestLeader: StatusFrame['newestLeader']): void {
    const { leader, log, election } = this.options;
    const term = leader()?.term.term;
    if (term === undefined || newestLeader.term <= term) return;
    const { term: newerTerm, name: newerLeader } = newestLeader;
    log.info({ term, newerTerm, newerLeader }, 'leader stepped down: newer leader known');
    election.resign();
  }

  /** Steps down if the workers don't reach the leader and another controller can replace it. */
  checkIsolation(): void {
    const { runtime, settings, election, log } = this.options;
    const leader = this.options.leader();
    if (!leader?.recordsLoaded) return;
    const now = runtime.clock.now();
    const allSilent = this.workerSilence.sample(leader.fleet, now);
    const workers = this.countWorkers(now);
    const reachableByPeers = this.countReachableByPeers(now);
    const isIsolated =
      workers !== null &&
      isIsolatedFromWorkers(workers.machines, workers.reachable, reachableByPeers);
    if (!(isIsolated || allSilent) || !this.canBeReplaced(now)) return;
    const { term } = leader.term;
    log.info(
      { term, ...workers, reachableByPeers, allSilent },
      'leader stepped down: workers unreachable',
    );
    election.resign(settings.deployment.workers.lease_s);
  }

  /**
   * Whether hardly any worker reaches the leader; false while this controller is a follower. `now` is in
   * seconds of the monotonic clock.
   */
  isUnreachable(now: number): boolean {
    const workers = this.countWorkers(now);
    return workers !== null && reachesFewWorkers(workers.machines, workers.reachable);
  }

  /**
   * Counts the leader's workers; null while there is no leader, or for a short time after the leader began.
   * After a failover the workers need some time to find the new leader. To wait for a whole worker lease
   * would be too long: a leader that no worker ever reaches would let all worker leases expire.
   */
  private countWorkers(now: number): WorkerCounts | null {
    const leader = this.options.leader();
    if (!leader?.recordsLoaded) return null;
    const discoveryS = (REACHABLE_INTERVALS + 1) * this.heartbeatIntervalS;
    if (now - leader.startedAt < discoveryS) return null;
    return countReachable(leader.fleet, now, REACHABLE_INTERVALS * this.heartbeatIntervalS);
  }

  /**
   * Whether a reachable peer can be elected, since the state service serves it. While the state service refuses
   * this controller, all peers must be refused as well: then they renew worker leases for a leader that has
   * stepped down.
   */
  private canBeReplaced(now: number): boolean {
    const peers = this.options.statuses.statuses();
    if (this.options.client.isFailing) {
      return peers.every((peer) => this.isLoaded(peer, now) && canOnlyRenewLeases(peer));
    }
    return peers.some((peer) => this.isLoaded(peer, now) && !peer.frame.refused);
  }

  /** Whether the peer is reachable and has read all jobs. */
  private isLoaded(peer: PeerStatus | null, now: number): peer is PeerStatus {
    return this.isCurrent(peer, now) && peer.frame.loaded;
  }

  private isCurrent(peer: PeerStatus | null, now: number): peer is PeerStatus {
    return isReachable(peer, now, CURRENT_STATUS_INTERVALS * this.heartbeatIntervalS);
  }

  /** Number of workers that recently sent heartbeats to peers while these were followers. */
  private countReachableByPeers(now: number): number {
    let workers = 0;
    for (const peer of this.options.statuses.statuses()) {
      if (this.isCurrent(peer, now)) workers += peer.frame.followerHeartbeats;
    }
    return workers;
  }
}

/** Whether the state service refuses the peer and none of the peer's campaigns is in flight. */
function canOnlyRenewLeases({ frame }: PeerStatus): boolean {
  return frame.refused && !frame.mayLead;
}
