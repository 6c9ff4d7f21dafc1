/** Answers the heartbeats of workers. */
import type { ServerResponse } from 'node:http';
import {
  answerToWire,
  MalformedBody,
  type Order,
  parseHeartbeat,
  redirectToWire,
  type Heartbeat,
} from '#wire';
import { reply, replyError } from '../api/replies.js';
import { readBody } from '../api/request-body.js';
import { shouldRedirectToLeader } from '../leadership/leader-reachability.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { ControllerServices } from '../services.js';
import type { StandbyRenewal } from '../leadership/standby-renewal.js';
import type { StatusExchange } from '../peers/status-exchange.js';
import type { FollowerHeartbeats } from './follower-heartbeats.js';
import { WorkerConnections } from './worker-connections.js';
import type { ProcessStatistics } from '../observability/process-statistics.js';

/** Fencing token of answers that every worker must drop: lower than the token of any term. */
const NO_FENCING_TOKEN = 0;

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'jobs' | 'election' | 'log'>;

/** Dependencies of a `HeartbeatEndpoint`. */
export interface HeartbeatEndpointOptions extends Services {
  /** The leader that runs in this process, if it holds the leader lease; else null. */
  activeLeader: () => ShardLeader | null;
  standby: StandbyRenewal;
  statuses: StatusExchange;
  /** Seconds after which a controller that has sent nothing counts as unreachable. */
  silenceS: number;
  followerHeartbeats: FollowerHeartbeats;
  statistics: ProcessStatistics;
}

/**
 * Answers heartbeats as the leader while this controller holds the leader lease; otherwise renews worker leases
 * as a standby, or redirects workers to the leader.
 */
export class HeartbeatEndpoint {
  private readonly connections = new WorkerConnections();

  constructor(private readonly options: HeartbeatEndpointOptions) {}

  /** Answers one heartbeat; the body is undefined if it was too large. */
  handle(body: unknown, res: ServerResponse): void {
    let heartbeat: Heartbeat;
    try {
      heartbeat = parseHeartbeat(readBody(body));
    } catch (err) {
      replyError(res, 400, err instanceof MalformedBody ? err.message : 'unreadable');
      return;
    }
    this.options.statistics.heartbeats++;
    const leader = this.options.activeLeader();
    if (leader === null) this.answerAsFollower(heartbeat, res);
    else if (this.hasSeenNewerLeader(heartbeat, leader.fleet.fencing.newestFencingToken))
      this.stepDown(heartbeat, res);
    else if (leader.recordsLoaded) this.answerAsLeader(leader, heartbeat, res);
    else this.renewLease(leader.term.term, heartbeat, res);
  }

  /** Answers without a leader lease: renews the worker's lease as a standby, or redirects the worker. */
  private answerAsFollower(heartbeat: Heartbeat, res: ServerResponse): void {
    const renewable = this.options.standby.renewableTerm();
    if (renewable !== null && !this.hasSeenNewerLeader(heartbeat, renewable.newestFencingToken))
      // The worker drops an answer with a lower fencing token than it has seen.
      this.renewLease(Math.max(renewable.term, heartbeat.fencingToken), heartbeat, res);
    else this.redirect(heartbeat, res);
  }

  /** Whether the worker has seen a newer fencing token, and so obeys a newer leader. */
  private hasSeenNewerLeader(heartbeat: Heartbeat, fencingToken: number): boolean {
    return heartbeat.fencingToken > fencingToken;
  }

  private stepDown({ machine, fencingToken }: Heartbeat, res: ServerResponse): void {
    const line = 'leader stepped down: newer fencing token seen';
    this.options.log.info({ machine, fencingToken }, line);
    this.options.election.resign();
    reply(res, 421, redirectToWire(null));
  }

  /**
   * Redirects the worker to the leader if the leader may be reachable. Otherwise refuses the heartbeat, so that
   * the worker tries other controllers and soon finds the next leader.
   */
  private redirect(heartbeat: Heartbeat, res: ServerResponse): void {
    const { settings, election, followerHeartbeats } = this.options;
    followerHeartbeats.record(heartbeat.machine);
    const { currentLeader } = election;
    if (!currentLeader || currentLeader.leader === settings.host_name)
      replyError(res, 503, 'no owner yet');
    else if (this.isLeaderReachable(currentLeader.leader))
      reply(res, 421, redirectToWire(currentLeader.leader));
    else replyError(res, 503, 'the owner is out of reach');
  }

  private isLeaderReachable(leader: string): boolean {
    const { runtime, statuses, silenceS } = this.options;
    return shouldRedirectToLeader({
      now: runtime.clock.now(),
      leader: statuses.statusOf(leader),
      peers: statuses.statuses(),
      silenceS,
    });
  }

  /**
   * Renews the worker's lease without the fleet state: leases must not expire while a leader reads its
   * records, nor because a leader has ended in an outage. Starts no tasks, and stops cancelled ones.
   */
  private renewLease(fencingToken: number, heartbeat: Heartbeat, res: ServerResponse): void {
    const stops: Order[] = heartbeat.tasks
      .filter((task) => task.state !== 'exited' && this.options.jobs.isCancelled(task.job))
      .map(({ job, index, attempt }) => ({ op: 'stop', graceS: 0, job, index, attempt }));
    reply(res, 200, answerToWire(fencingToken, stops));
  }

  private answerAsLeader(leader: ShardLeader, heartbeat: Heartbeat, res: ServerResponse): void {
    const { machine } = heartbeat;
    const answer = leader.acceptHeartbeat(heartbeat);
    if (answer === null) {
      // A delayed duplicate: the worker must drop the answer, which doesn't count as a lease renewal.
      reply(res, 200, answerToWire(NO_FENCING_TOKEN, []));
      return;
    }
    this.connections.track(machine, res.socket);
    reply(res, 200, answerToWire(answer.fencingToken, answer.orders));
  }
}
