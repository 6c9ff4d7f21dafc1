/**
 * Builds the components of one controller and passes each component its dependencies. Components that depend
 * on each other get functions that are called only after all components are built.
 */
import type { PeerLink } from '#peer';
import { CloudClient, type Runtime } from '#wire';
import { Admission } from './api/admission.js';
import { makeHttpServer } from './api/http-interface.js';
import type { HttpServer } from './api/http-server.js';
import { divideSockets } from './api/socket-shares.js';
import { FollowerHeartbeats } from './heartbeats/follower-heartbeats.js';
import { defersCampaign } from './leadership/campaign-deferral.js';
import { LeaderLease, leaderLeaseLimits } from './leadership/leader-lease.js';
import type { LeaderLeaseState } from './leadership/leader-lease-check.js';
import { LeadershipTerms } from './leadership/leadership-terms.js';
import type { ShardLeader } from './leadership/shard-leader.js';
import { StandbyRenewal } from './leadership/standby-renewal.js';
import { EventLoopDelayMonitor } from './observability/event-loop-delay.js';
import type { Log } from './observability/log.js';
import { MetricsEndpoint } from './observability/metrics-endpoint.js';
import { ProcessStatistics } from './observability/process-statistics.js';
import { CancellationRelay } from './peers/cancellation-relay.js';
import { PeerCoordinator } from './peers/peer-coordinator.js';
import { makePeerLink } from './peers/peer-link.js';
import { StatusExchange } from './peers/status-exchange.js';
import { type ControllerServices, makeServices } from './services.js';
import type { Settings } from './settings/settings.js';
import { makeStateAccess, type StateAccess } from './state-access.js';

/** Timeout of calls to the cloud, in heartbeat intervals. */
const CLOUD_TIMEOUT_INTERVALS = 4;

/** The components that a controller starts, stops and passes on. */
export interface ControllerComponents extends Peering, Observability {
  state: StateAccess;
  services: ControllerServices;
  cloud: CloudClient;
  terms: LeadershipTerms;
  coordinator: PeerCoordinator;
  httpServer: HttpServer;
}

/** Access to the leader in this process. May be called only after all components are built. */
interface Leadership {
  /** The leader of the current term; null while this controller does not lead. */
  leader: () => ShardLeader | null;
  /** State of this leader's lease, which decides whether the leader may still act. */
  leaseState: () => LeaderLeaseState;
}

/** Components that communicate with the other controllers. */
interface Peering {
  cancellationRelay: CancellationRelay;
  peers: PeerLink;
  statuses: StatusExchange;
  followerHeartbeats: FollowerHeartbeats;
}

/** Components that decide whether this controller may answer workers' heartbeats. */
interface Leases {
  leaderLease: LeaderLease;
  standby: StandbyRenewal;
}

/** Components that measure this controller, and the admission control that limits its load. */
interface Observability {
  admission: Admission;
  statistics: ProcessStatistics;
  metrics: MetricsEndpoint;
  eventLoopDelay: EventLoopDelayMonitor;
}

/** Builds all components of a controller without starting any of them. */
export function composeController(
  runtime: Runtime,
  settings: Settings,
  log: Log,
): ControllerComponents {
  const leadership: Leadership = {
    leader: () => terms.leader,
    leaseState: () => leases.leaderLease.evaluate(terms.leader),
  };
  const sockets = divideSockets(settings.deployment.limits.sockets, settings.peers.length);
  const state = makeStateAccess(runtime, settings, () => leadership.leader() !== null);
  const services: ControllerServices = makeServices(runtime, settings, log, state, () =>
    defersCampaign(runtime.clock, settings, peering.statuses),
  );
  const cloud = makeCloudClient(runtime, settings);
  const peering: Peering = composePeering(services, leadership);
  const leases = composeLeases(services, peering.statuses);
  const connections = () => httpServer.connections;
  const observability = composeObservability(services, leadership, connections);
  const terms = composeTerms(services, cloud, leadership, observability, sockets.directConnections);
  const composed = { ...peering, ...leases, ...observability };
  const coordinator = composeCoordinator(services, leadership, composed);
  const httpServer: HttpServer = composeHttpServer(
    services,
    leadership,
    composed,
    sockets.serverConnections,
  );
  return { state, services, cloud, ...peering, ...observability, terms, coordinator, httpServer };
}

function makeCloudClient(runtime: Runtime, { external, deployment }: Settings): CloudClient {
  const timeoutMs = CLOUD_TIMEOUT_INTERVALS * deployment.workers.report_s * 1000;
  return new CloudClient(runtime, external.cloud, timeoutMs);
}

function composePeering(services: ControllerServices, { leader }: Leadership): Peering {
  const { runtime, settings, cancellations } = services;
  const cancellationRelay = new CancellationRelay({
    runtime,
    cancellations,
    leader,
    send: (frame) => {
      peers.send(frame);
    },
  });
  const peers = makePeerLink(runtime, settings, () => cancellationRelay.greeting());
  const statuses = new StatusExchange({
    incarnation: Math.floor(runtime.random() * Number.MAX_SAFE_INTEGER),
    peers: settings.peers.map((peer) => peer.host_name),
    cancellations,
    sendTo: (peer, frame) => {
      peers.sendTo(peer, frame);
    },
  });
  const heartbeatIntervalS = settings.deployment.workers.report_s;
  const followerHeartbeats = new FollowerHeartbeats(runtime.clock, heartbeatIntervalS);
  return { cancellationRelay, peers, statuses, followerHeartbeats };
}

function composeLeases(services: ControllerServices, statuses: StatusExchange): Leases {
  const { runtime, settings, client, jobs, election, log } = services;
  const limits = leaderLeaseLimits(settings);
  return {
    leaderLease: new LeaderLease({ runtime, client, jobs, election, statuses, limits }),
    standby: new StandbyRenewal({ runtime, client, jobs, election, statuses, limits, log }),
  };
}

function composeObservability(
  { runtime, settings, client, commits, jobs, replicas, log }: ControllerServices,
  { leader }: Leadership,
  connections: () => number,
): Observability {
  const { clock } = runtime;
  const heartbeatIntervalS = settings.deployment.workers.report_s;
  const admission = new Admission({ runtime, client, commits, heartbeatIntervalS, log });
  const statistics = new ProcessStatistics({
    clock,
    heartbeatIntervalS,
    counted: () => ({
      stateRequests: client.requestsSent,
      stateRefused: client.requestsRefused,
      stateChanges: client.changesSent,
    }),
    connections,
    onSample: (sample) => {
      log.info({ leading: leader() !== null, ...sample }, 'process statistics sampled');
    },
  });
  const metrics = new MetricsEndpoint({
    replicas,
    clock,
    heartbeatIntervalS,
    statistics,
    client,
    admission,
    jobMemory: jobs.memory,
    leader,
  });
  return { admission, statistics, metrics, eventLoopDelay: new EventLoopDelayMonitor(runtime) };
}

function composeTerms(
  services: ControllerServices,
  cloud: CloudClient,
  { leaseState }: Leadership,
  { statistics, metrics }: Observability,
  directSockets: number,
): LeadershipTerms {
  const { runtime, settings, client, commits, election, jobs, types, replicas, log } = services;
  return new LeadershipTerms({
    runtime,
    settings,
    client,
    commits,
    election,
    jobs,
    types,
    replicas,
    log,
    cloud,
    leaderLeaseState: leaseState,
    onRound: (roundMs) => {
      statistics.rounds++;
      statistics.roundMs += roundMs;
      metrics.observeRound(roundMs);
    },
    directSockets,
  });
}

function composeCoordinator(
  { runtime, settings, client, jobs, election, log }: ControllerServices,
  { leader }: Leadership,
  { peers, statuses, followerHeartbeats, cancellationRelay, standby }: Peering & Leases,
): PeerCoordinator {
  return new PeerCoordinator({
    runtime,
    settings,
    client,
    jobs,
    election,
    log,
    peers,
    statuses,
    followerHeartbeats,
    cancellationRelay,
    standby,
    leader,
  });
}

function composeHttpServer(
  services: ControllerServices,
  { leader, leaseState }: Leadership,
  composed: Peering & Leases & Observability,
  maxConnections: number,
): HttpServer {
  const { statuses, cancellationRelay, standby, followerHeartbeats } = composed;
  const { statistics, metrics, eventLoopDelay, admission } = composed;
  return makeHttpServer({
    services,
    maxConnections,
    statuses,
    silenceS: leaderLeaseLimits(services.settings).silenceS,
    cancellationRelay,
    standby,
    followerHeartbeats,
    statistics,
    metrics,
    eventLoopDelay,
    admission,
    leader,
    activeLeader: () => (leaseState() === 'none' ? null : leader()),
  });
}
