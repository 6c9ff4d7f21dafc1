/** Drives everything that this controller exchanges with its peers. */
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

/** Rounds of status in a heartbeat interval. */
const STATUS_ROUNDS_PER_INTERVAL = 2;
/** Rounds of status from one round of task counts and cancellations to the next. */
const STATUS_ROUNDS_PER_COUNT = 2;

type Services = Pick<
  ControllerServices,
  'runtime' | 'settings' | 'client' | 'jobs' | 'election' | 'log'
>;

/** What the coordinator exchanges with the peers, and who has to know of it. */
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
 * Sends status, task counts and cancellations to the peers in regular rounds, and passes what they send
 * on to whoever uses it. Before each round the leader of this process steps down if it has to.
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
      isUnreachable: (now) => this.stepDown.isUnreachable(now),
    };
  }

  /** Passes on what a peer has sent. */
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
        // The connection itself has read it.
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
    // First of all, so that the peers learn at once that this controller no longer leads.
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

  /** A leader has to know the cancellations that others accepted, however quiet its own users are. */
  private readCancellations(): void {
    this.options.jobs.cache.sync().catch(() => {
      // A later round asks again; the leader lease counts from the newest request that succeeded.
    });
  }
}
