/** Drives the exchange of frames between this controller and its peers. */
import type { Frame, PeerLink } from '#peer';
import { pause } from '#wire';
import type { FollowerHeartbeats } from '../heartbeats/follower-heartbeats.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { StandbyRenewal } from '../leadership/standby-renewal.js';
import type { ControllerServices } from '../services.js';
import type { CancellationRelay } from './cancellation-relay.js';
import { DeadConnectionMonitor } from './dead-connections.js';
import { type OwnStatusSources, readOwnStatus } from './own-status.js';
import type { StatusExchange } from './status-exchange.js';
import { StepDownMonitor } from './step-down.js';
import { TaskCountExchange } from './task-count-exchange.js';

/** Status rounds per heartbeat interval. */
const STATUS_ROUNDS_PER_INTERVAL = 2;
/** Status rounds per round of task counts and cancellations. */
const STATUS_ROUNDS_PER_COUNT = 2;

type Services = Pick<
  ControllerServices,
  'runtime' | 'settings' | 'client' | 'jobs' | 'election' | 'log'
>;

/** Dependencies of a `PeerCoordinator`. */
export interface PeerCoordinatorOptions extends Services {
  peers: PeerLink;
  statuses: StatusExchange;
  followerHeartbeats: FollowerHeartbeats;
  cancellationRelay: CancellationRelay;
  standby: StandbyRenewal;
  /** The leader that runs in this process; null while this controller is a follower. */
  leader: () => ShardLeader | null;
}

/**
 * Sends status, task counts and cancellations to the peers in regular rounds, and dispatches the frames that
 * they send. Before each round it checks whether the leader of this process must step down.
 */
export class PeerCoordinator {
  private readonly roundIntervalS: number;
  private readonly stepDown: StepDownMonitor;
  private readonly deadConnections: DeadConnectionMonitor;
  private readonly taskCounts: TaskCountExchange;
  private readonly ownStatus: OwnStatusSources;
  /** Rounds in which a leader ran in this process. */
  private leaderRounds = 0;

  constructor(private readonly options: PeerCoordinatorOptions) {
    const { runtime, settings, client, jobs, election, log } = options;
    const { peers, statuses, followerHeartbeats, leader } = options;
    this.roundIntervalS = settings.deployment.workers.report_s / STATUS_ROUNDS_PER_INTERVAL;
    this.stepDown = new StepDownMonitor({
      runtime,
      settings,
      client,
      election,
      log,
      statuses,
      leader,
      checkIntervalS: this.roundIntervalS,
    });
    this.deadConnections = new DeadConnectionMonitor({ runtime, settings, peers, statuses });
    this.taskCounts = new TaskCountExchange({ jobs, peers });
    this.ownStatus = {
      client,
      jobs,
      election,
      followerHeartbeats,
      isLeading: () => leader() !== null,
      newestFencingToken: () => leader()?.fleet.fencing.newestFencingToken ?? 0,
      isUnreachable: (now) => this.stepDown.isUnreachable(now),
    };
  }

  /** Dispatches a frame that a peer has sent. */
  receive(from: string, frame: Frame): void {
    const { runtime, statuses, cancellationRelay, standby } = this.options;
    switch (frame.kind) {
      case 'status':
        statuses.receive(from, frame, runtime.clock.now());
        standby.recordStatus();
        cancellationRelay.endTasks();
        this.stepDown.checkNewestLeader(frame.newestLeader);
        break;
      case 'counts':
        this.taskCounts.record(frame.jobs);
        break;
      case 'cancel':
        cancellationRelay.receive(frame);
        break;
      case 'hello':
        // The connection that received the frame has handled it.
        break;
    }
  }

  /** Carries out one round after another until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options.runtime;
    while (!signal.aborted) {
      this.runRound();
      await pause(clock, this.roundIntervalS * 1000, signal);
    }
  }

  private runRound(): void {
    const { runtime, statuses, cancellationRelay, leader: currentLeader } = this.options;
    // Runs before the status is sent, so that peers learn at once if this controller no longer leads.
    this.stepDown.checkIsolation();
    const now = runtime.clock.now();
    statuses.send(readOwnStatus(this.ownStatus, now), now);
    this.deadConnections.redial();
    cancellationRelay.endTasks();
    const leader = currentLeader();
    if (leader === null) return;
    if (this.leaderRounds % STATUS_ROUNDS_PER_COUNT === 0) {
      this.readCancellations();
      this.taskCounts.send(leader);
    }
    this.leaderRounds++;
  }

  /**
   * Syncs the cache of job records. A leader must learn of cancellations that other controllers accepted,
   * even if its own users send no requests.
   */
  private readCancellations(): void {
    this.options.jobs.cache.sync().catch(() => {
      // A later round tries again; the leader lease counts from the newest request that succeeded.
    });
  }
}
