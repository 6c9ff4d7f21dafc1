/** Builds the HTTP server together with the handlers of all its routes. */
import { parseHostPort } from '#wire';
import type { Admission } from './admission.js';
import type { CancellationRelay } from '../peers/cancellation-relay.js';
import { HealthEndpoint } from './health-endpoint.js';
import { HttpServer } from './http-server.js';
import type { EventLoopDelayMonitor } from '../observability/event-loop-delay.js';
import type { MetricsEndpoint } from '../observability/metrics-endpoint.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import { mountReplicaRoute } from './replica-endpoint.js';
import { HeartbeatEndpoint } from '../heartbeats/heartbeat-endpoint.js';
import type { ControllerServices } from '../services.js';
import type { StandbyRenewal } from '../leadership/standby-renewal.js';
import type { StatusExchange } from '../peers/status-exchange.js';
import { SubmissionCheck } from './submission-check.js';
import type { FollowerHeartbeats } from '../heartbeats/follower-heartbeats.js';
import { UserApi } from './user-api.js';
import type { ProcessStatistics } from '../observability/process-statistics.js';

/** Dependencies of the HTTP server and its handlers. */
export interface HttpInterfaceOptions {
  services: ControllerServices;
  /** Limit of the open connections of workers and users. */
  maxConnections: number;
  statuses: StatusExchange;
  /** Seconds without any message after which another controller counts as unreachable. */
  silenceS: number;
  cancellationRelay: CancellationRelay;
  standby: StandbyRenewal;
  followerHeartbeats: FollowerHeartbeats;
  statistics: ProcessStatistics;
  metrics: MetricsEndpoint;
  eventLoopDelay: EventLoopDelayMonitor;
  admission: Admission;
  /** The leader that runs in this process; null while this controller is a follower. */
  leader: () => ShardLeader | null;
  /** The leader that runs in this process while it holds the leader lease; otherwise null. */
  activeLeader: () => ShardLeader | null;
}

/** Makes the server for workers, users, operators and health checks, with all its routes. */
export function makeHttpServer(options: HttpInterfaceOptions): HttpServer {
  const { services, statuses, metrics, maxConnections } = options;
  const { runtime, settings } = services;
  const health = new HealthEndpoint({ ...services, statuses });
  const users = makeUserApi(options, () => server.isNearConnectionLimit);
  const heartbeats = new HeartbeatEndpoint({ ...services, ...options });
  const server: HttpServer = new HttpServer({
    network: runtime.network,
    address: parseHostPort(settings.listen),
    maxConnections,
    mount: (app) => {
      health.mount(app);
      metrics.mount(app);
      users.mount(app);
      mountReplicaRoute(app, { ...services, leader: options.leader });
    },
    onHeartbeat: (body, res) => {
      const observeDuration = metrics.timeHeartbeat();
      heartbeats.handle(body, res);
      observeDuration();
    },
  });
  return server;
}

function makeUserApi(options: HttpInterfaceOptions, isNearConnectionLimit: () => boolean): UserApi {
  const { services, statistics, metrics, eventLoopDelay, admission, cancellationRelay } = options;
  const { runtime, client, commits, jobs, types } = services;
  return new UserApi({
    clock: runtime.clock,
    client,
    commits,
    jobs,
    submissionCheck: new SubmissionCheck(services),
    types: () => types.all(),
    onRequest: (kind) => {
      statistics.userRequests++;
      return metrics.timeUserRequest(kind);
    },
    admission,
    overloadedForS: () => eventLoopDelay.overloadedForS,
    onCancel: (job) => {
      cancellationRelay.request(job);
    },
    isNearConnectionLimit,
  });
}
