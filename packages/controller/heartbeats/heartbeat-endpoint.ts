import type { ServerResponse } from 'node:http';
import {
  answerToWire,
  MalformedBody,
  type Order,
  parseHeartbeat,
  redirectToWire,
  type Heartbeat,
} from '#wire';
import { readBody, reply } from '../api/http-bodies.js';
import { mayReachLeader } from '../leadership/leader-reachability.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { ControllerServices } from '../services.js';
import { WorkerConnections } from '../api/sockets.js';
import type { StandbyRenewal } from '../leadership/standby-renewal.js';
import type { StatusExchange } from '../peers/status-exchange.js';
import type { FollowerHeartbeats } from './follower-heartbeats.js';
import type { ProcessStatistics } from '../observability/process-statistics.js';

/** A token that every worker drops. */
const NO_FENCING_TOKEN = 0;

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'jobs' | 'election' | 'log'>;

export interface HeartbeatEndpointOptions extends Services {
  /** The owner of the present term if it may answer workers now. */
  activeLeader: () => ShardLeader | null;
  standby: StandbyRenewal;
  statuses: StatusExchange;
  /** A controller that was not heard for this long is out of reach. */
  silenceS: number;
  followerHeartbeats: FollowerHeartbeats;
  statistics: ProcessStatistics;
}

/** Answers the reports of workers: as the owner if entitled, else with who owns. */
export class HeartbeatEndpoint {
  private readonly connections = new WorkerConnections();

  constructor(private readonly options: HeartbeatEndpointOptions) {}

  handle(body: unknown, res: ServerResponse): void {
    let heartbeat: Heartbeat;
    try {
      heartbeat = parseHeartbeat(readBody(body));
    } catch (err) {
      reply(res, 400, { error: err instanceof MalformedBody ? err.message : 'unreadable' });
      return;
    }
    this.options.statistics.heartbeats++;
    const leader = this.options.activeLeader();
    if (leader === null) this.answerAsOther(heartbeat, res);
    else if (this.isNewer(heartbeat, leader.fleet.fencing.newestFencingToken))
      this.resign(heartbeat, res);
    else if (leader.ready) this.answer(leader, heartbeat, res);
    else this.renewLease(leader.term.term, heartbeat, res);
  }

  /** Not the owner, or not entitled. */
  private answerAsOther(heartbeat: Heartbeat, res: ServerResponse): void {
    const term = this.options.standby.renewableTerm();
    if (term !== null && !this.isNewer(heartbeat, term)) this.renewLease(term, heartbeat, res);
    else this.redirect(heartbeat, res);
  }

  /** Somebody commands this worker whose term is newer than the token. */
  private isNewer(heartbeat: Heartbeat, fencingToken: number): boolean {
    return heartbeat.fencingToken > fencingToken;
  }

  private resign({ machine, fencingToken }: Heartbeat, res: ServerResponse): void {
    this.options.log.info({ machine, token: fencingToken }, 'a newer token is out');
    this.options.election.resign();
    reply(res, 421, redirectToWire(null));
  }

  private redirect(heartbeat: Heartbeat, res: ServerResponse): void {
    const { settings, election, followerHeartbeats } = this.options;
    followerHeartbeats.record(heartbeat.machine);
    const { currentLeader } = election;
    if (!currentLeader || currentLeader.leader === settings.host_name)
      reply(res, 503, { error: 'no owner yet' });
    else if (this.mayReach(currentLeader.leader))
      reply(res, 421, redirectToWire(currentLeader.leader));
    else reply(res, 503, { error: 'the owner is out of reach' });
  }

  private mayReach(leader: string): boolean {
    const { runtime, statuses, silenceS } = this.options;
    return mayReachLeader({
      now: runtime.clock.now(),
      leader: statuses.statusOf(leader),
      peers: statuses.statuses(),
      silenceS,
    });
  }

  /**
   * Leases must not run out while an owner reads its records, nor because an owner has ended in an
   * outage. Nothing can be started, but what users have cancelled ends.
   */
  private renewLease(term: number, heartbeat: Heartbeat, res: ServerResponse): void {
    const stops: Order[] = heartbeat.tasks
      .filter((task) => task.state !== 'exited' && this.options.jobs.isCancelled(task.job))
      .map(({ job, index, attempt }) => ({ op: 'stop', graceS: 0, job, index, attempt }));
    reply(res, 200, answerToWire(term, stops));
  }

  private answer(leader: ShardLeader, heartbeat: Heartbeat, res: ServerResponse): void {
    const { machine } = heartbeat;
    const answer = leader.acceptHeartbeat(heartbeat);
    if (answer === null) {
      // A late copy: its worker must drop the answer, which is not counted as a renewal.
      reply(res, 200, answerToWire(NO_FENCING_TOKEN, []));
      return;
    }
    this.connections.track(machine, res.socket);
    reply(res, 200, answerToWire(answer.fencingToken, answer.orders));
  }
}
