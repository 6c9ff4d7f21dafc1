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
import { mayReachLeader } from '../leadership/leader-reachability.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { ControllerServices } from '../services.js';
import type { StandbyRenewal } from '../leadership/standby-renewal.js';
import type { StatusExchange } from '../peers/status-exchange.js';
import type { FollowerHeartbeats } from './follower-heartbeats.js';
import { WorkerConnections } from './worker-connections.js';
import type { ProcessStatistics } from '../observability/process-statistics.js';

/** Lower than the fencing token of any term, so that every worker drops the answer. */
const NO_FENCING_TOKEN = 0;

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'jobs' | 'election' | 'log'>;

/** What the answer to a heartbeat depends on. */
export interface HeartbeatEndpointOptions extends Services {
  /** The leader that runs in this process, if it holds the leader lease; else null. */
  activeLeader: () => ShardLeader | null;
  standby: StandbyRenewal;
  statuses: StatusExchange;
  /** A controller that has sent nothing for this long is unreachable; seconds. */
  silenceS: number;
  followerHeartbeats: FollowerHeartbeats;
  statistics: ProcessStatistics;
}

/** Answers as the leader while its leader lease is held, else with the controller that leads. */
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

  /** Answers without a leader lease: renews the worker's lease as a standby, or redirects it. */
  private answerAsFollower(heartbeat: Heartbeat, res: ServerResponse): void {
    const term = this.options.standby.renewableTerm();
    if (term !== null && !this.hasSeenNewerLeader(heartbeat, term))
      this.renewLease(term, heartbeat, res);
    else this.redirect(heartbeat, res);
  }

  /** Whether the worker has seen a newer fencing token, so that a newer leader commands it. */
  private hasSeenNewerLeader(heartbeat: Heartbeat, fencingToken: number): boolean {
    return heartbeat.fencingToken > fencingToken;
  }

  private stepDown({ machine, fencingToken }: Heartbeat, res: ServerResponse): void {
    const line = 'leader stepped down: newer fencing token seen';
    this.options.log.info({ machine, fencingToken }, line);
    this.options.election.resign();
    reply(res, 421, redirectToWire(null));
  }

  /** Sends the worker to the leader if it may reach it; elsewhere it soon finds the next one. */
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
    return mayReachLeader({
      now: runtime.clock.now(),
      leader: statuses.statusOf(leader),
      peers: statuses.statuses(),
      silenceS,
    });
  }

  /**
   * Renews the worker's lease without the fleet's state: leases must not expire while a leader reads its
   * records, nor because a leader has ended in an outage. Nothing is started; cancelled tasks are stopped.
   */
  private renewLease(term: number, heartbeat: Heartbeat, res: ServerResponse): void {
    const stops: Order[] = heartbeat.tasks
      .filter((task) => task.state !== 'exited' && this.options.jobs.isCancelled(task.job))
      .map(({ job, index, attempt }) => ({ op: 'stop', graceS: 0, job, index, attempt }));
    reply(res, 200, answerToWire(term, stops));
  }

  private answerAsLeader(leader: ShardLeader, heartbeat: Heartbeat, res: ServerResponse): void {
    const { machine } = heartbeat;
    const answer = leader.acceptHeartbeat(heartbeat);
    if (answer === null) {
      // A late copy: its worker must drop the answer, which doesn't count as a lease renewal.
      reply(res, 200, answerToWire(NO_FENCING_TOKEN, []));
      return;
    }
    this.connections.track(machine, res.socket);
    reply(res, 200, answerToWire(answer.fencingToken, answer.orders));
  }
}
