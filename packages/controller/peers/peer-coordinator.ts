import type { Frame, PeerLink } from '#peer';
import { type Clock, pause } from '#wire';
import type { CancellationRelay } from './cancellation-relay.js';
import { isIsolatedFromWorkers, reachesFewWorkers } from '../leadership/leader-lease-check.js';
import {
  countAllTasks,
  countChangedTasks,
  countReachable,
} from '../observability/fleet-summary.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { PeerStatus } from './peer-status.js';
import type { ControllerServices } from '../services.js';
import type { StandbyRenewal } from '../leadership/standby-renewal.js';
import type { StatusExchange } from './status-exchange.js';
import { REACHABLE_INTERVALS, type FollowerHeartbeats } from '../heartbeats/follower-heartbeats.js';
import { WorkerSilence } from '../heartbeats/worker-silence.js';

/** Rounds of status in a report period. */
const STATUS_ROUNDS = 2;
/** Rounds of status from one look at counts and cancellations to the next. */
const COUNT_ROUNDS = 2;
/** Rounds of counts from one that holds all open jobs to the next; the others hold what has changed. */
const ALL_COUNTS_ROUNDS = 10;
/** Jobs whose counts share a frame. */
const COUNTS_A_FRAME = 500;
/** Report periods within which a peer's statement counts as current. */
const CURRENT_PERIODS = 2;
/** Report periods after which a peer that is heard should have read something of ours. */
const UNREAD_PERIODS = 8;

type Services = Pick<
  ControllerServices,
  'runtime' | 'settings' | 'client' | 'jobs' | 'election' | 'log'
>;

export interface PeerCoordinatorOptions extends Services {
  peers: PeerLink;
  statuses: StatusExchange;
  followerHeartbeats: FollowerHeartbeats;
  cancellationRelay: CancellationRelay;
  standby: StandbyRenewal;
  /** Null while nothing is owned here. */
  leader: () => ShardLeader | null;
}

/**
 * Tells the peers how this controller is served, how many workers ask here for the owner and how jobs
 * stand; takes in what they tell; and gives the part up to a peer that knows of a newer owner or that the
 * workers reach while they don't reach us.
 */
export class PeerCoordinator {
  private readonly clock: Clock;
  private readonly heartbeatIntervalS: number;
  private readonly workerSilence: WorkerSilence;

  constructor(private readonly options: PeerCoordinatorOptions) {
    this.clock = options.runtime.clock;
    this.heartbeatIntervalS = options.settings.deployment.workers.report_s;
    const sampleIntervalS = this.heartbeatIntervalS / STATUS_ROUNDS;
    this.workerSilence = new WorkerSilence({
      heartbeatIntervalS: this.heartbeatIntervalS,
      sampleIntervalS,
    });
  }

  receive(from: string, frame: Frame): void {
    const { statuses, cancellationRelay, standby, jobs } = this.options;
    if (frame.kind === 'status') {
      statuses.receive(from, frame, this.clock.now());
      standby.recordStatus();
      cancellationRelay.endTasks();
      this.stepDownForNewerLeader(frame.newestLeader);
    } else if (frame.kind === 'counts') {
      for (const { job, done, running } of frame.jobs) jobs.recordCounts(job, done, running);
    } else if (frame.kind === 'abort') cancellationRelay.receive(frame);
  }

  /** Tells the peers twice in a report period until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { jobs, cancellationRelay, leader: currentLeader } = this.options;
    let round = 0;
    while (!signal.aborted) {
      // First of all, so that the peers hear at once that we own no longer.
      this.stepDownIfIsolated();
      this.sendStatus();
      this.renewDeadConnections();
      cancellationRelay.endTasks();
      const leader = currentLeader();
      if (leader && round % COUNT_ROUNDS === 0) {
        // Cancellations that others took must be known, however quiet the users are here.
        jobs.cache.sync().catch(() => {});
        const isFull = (round / COUNT_ROUNDS) % ALL_COUNTS_ROUNDS === 0;
        if (leader.ready) this.sendCounts(leader, isFull ? 'all' : 'changed');
      }
      if (leader) round++;
      await pause(this.clock, (this.heartbeatIntervalS * 1000) / STATUS_ROUNDS, signal);
    }
  }

  private sendStatus(): void {
    const { client, jobs, election, leader, followerHeartbeats, statuses } = this.options;
    const now = this.clock.now();
    const own = {
      servedAgoMs: (now - client.lastOkAt) * 1000,
      refused: client.failing,
      loaded: jobs.cache.ready,
      leading: leader() !== null,
      mayLead: election.mayLead,
      newestLeader: election.newestLeader,
      unreachable: this.isUnreachable(now),
      followerHeartbeats: followerHeartbeats.count(),
      jobsRevision: jobs.cache.completeTo,
    };
    statuses.send(own, now);
  }

  /** What a peer states tells which of our frames it has read. */
  private renewDeadConnections(): void {
    const { settings, statuses, peers } = this.options;
    const unreadS = UNREAD_PERIODS * this.heartbeatIntervalS;
    const now = this.clock.now();
    for (const { host_name: peer } of settings.peers) {
      const status = statuses.statusOf(peer);
      if (status && this.isCurrent(status, now) && now - status.asOf > unreadS) {
        peers.redial(peer, unreadS);
      }
    }
  }

  private isCurrent({ receivedAt }: PeerStatus, now: number): boolean {
    return now - receivedAt <= CURRENT_PERIODS * this.heartbeatIntervalS;
  }

  private sendCounts(leader: ShardLeader, which: 'all' | 'changed'): void {
    const { jobs, peers } = this.options;
    const count = which === 'all' ? countAllTasks : countChangedTasks;
    const counts = count(leader.fleet);
    for (const { job, done, running } of counts) jobs.recordCounts(job, done, running);
    for (let i = 0; i < counts.length; i += COUNTS_A_FRAME) {
      peers.send({ kind: 'counts', jobs: counts.slice(i, i + COUNTS_A_FRAME) });
    }
  }

  /** A peer has seen a newer owner, so our term is over. */
  private stepDownForNewerLeader(newestLeader: { term: number; name: string }): void {
    const { leader, log, election } = this.options;
    const term = leader()?.term.term;
    if (term === undefined || newestLeader.term <= term) return;
    log.info(
      { term, newer: newestLeader.term, owner: newestLeader.name },
      'a newer owner is known',
    );
    election.resign();
  }

  /**
   * How many machines should report to the owner and how many did lately; null if nothing is owned here. After a
   * take-over the workers need some time to find us; a whole lease of it is too long, since an owner that none of
   * them ever reaches would let all their leases run out.
   */
  private reachableWorkers(now: number): { machines: number; reachable: number } | null {
    const leader = this.options.leader();
    if (
      !leader?.ready ||
      now - leader.startedAt < (REACHABLE_INTERVALS + 1) * this.heartbeatIntervalS
    )
      return null;
    return countReachable(leader.fleet, now, REACHABLE_INTERVALS * this.heartbeatIntervalS);
  }

  private isUnreachable(now: number): boolean {
    const workers = this.reachableWorkers(now);
    return workers !== null && reachesFewWorkers(workers.machines, workers.reachable);
  }

  /** Leaves the part to a controller that the workers can reach. */
  private stepDownIfIsolated(): void {
    const { settings, election, log } = this.options;
    const leader = this.options.leader();
    if (!leader?.ready) return;
    const now = this.clock.now();
    const allSilent = this.workerSilence.sample(leader.fleet, now);
    const workers = this.reachableWorkers(now);
    const reachableByPeers = this.countReachableByPeers(now);
    const askElsewhere =
      workers !== null &&
      isIsolatedFromWorkers(workers.machines, workers.reachable, reachableByPeers);
    if (!(askElsewhere || allSilent) || !this.canBeReplaced(now)) return;
    const term = leader.term.term;
    log.info(
      { term, ...workers, heardByPeers: reachableByPeers, allSilent },
      'cut from the workers',
    );
    election.resign(settings.deployment.workers.lease_s);
  }

  /**
   * A peer is there that the state service serves, and that can take the part over; or all peers are refused as we
   * are, and renew leases for an owner that has stated that it owns no longer.
   */
  private canBeReplaced(now: number): boolean {
    const peers = this.options.statuses.statuses();
    const isThere = (peer: PeerStatus | null) =>
      peer !== null && this.isCurrent(peer, now) && peer.frame.loaded;
    if (this.options.client.failing)
      return peers.every((peer) => isThere(peer) && awaitsService(peer!));
    return peers.some((peer) => isThere(peer) && !peer!.frame.refused);
  }

  /** Workers that lately reported to peers, which do not own. */
  private countReachableByPeers(now: number): number {
    const { statuses } = this.options;
    let workers = 0;
    for (const peer of statuses.statuses()) {
      if (peer && this.isCurrent(peer, now)) workers += peer.frame.followerHeartbeats;
    }
    return workers;
  }
}

/** The state service refuses the peer, which has no claim under way. */
function awaitsService({ frame }: PeerStatus): boolean {
  return frame.refused && !frame.mayLead;
}
