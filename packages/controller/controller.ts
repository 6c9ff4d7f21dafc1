import { setMaxListeners } from 'node:events';
import type { ShardMigrator } from '#shards';
import type { PeerLink } from '#peer';
import { CloudClient, type Runtime } from '#wire';
import { Admission } from './api/admission.js';
import { CancellationRelay } from './peers/cancellation-relay.js';
import type { LeaderLeaseState } from './leadership/leader-lease-check.js';
import { makeHttpServer } from './api/http-interface.js';
import type { HttpServer } from './api/http-server.js';
import { EventLoopDelayMonitor } from './observability/event-loop-delay.js';
import type { Log } from './observability/log.js';
import { MetricsEndpoint } from './observability/metrics-endpoint.js';
import { leaderLeaseLimits, LeaderLease } from './leadership/leader-lease.js';
import type { MoveSettings } from './settings/operator-settings.js';
import { leavesWorkersStranded, nextForWorkers } from './leadership/leader-reachability.js';
import { LeadershipTerms } from './leadership/leadership-terms.js';
import type { ShardLeader } from './leadership/shard-leader.js';
import { loadShardMigrator } from './leadership/shard-migration.js';
import { PeerCoordinator } from './peers/peer-coordinator.js';
import { loadReplicaSupport } from './replica-support.js';
import { makePeerLink } from './peers/peer-link.js';
import { type ControllerServices, makeServices, ONLY_SHARD } from './services.js';
import type { Settings } from './settings/settings.js';
import { socketShares } from './api/sockets.js';
import { StandbyRenewal } from './leadership/standby-renewal.js';
import { accessState, type StateAccess } from './state-access.js';
import { StatusExchange } from './peers/status-exchange.js';
import { FollowerHeartbeats } from './heartbeats/follower-heartbeats.js';
import { ProcessStatistics } from './observability/process-statistics.js';

/** Report periods that a call to the cloud may take. */
const CLOUD_TIMEOUT = 4;

/** One controller: joins its parts, starts and ends them. */
export class Controller {
  private readonly heartbeatIntervalS: number;
  private readonly sockets: { server: number; direct: number };
  private readonly state: StateAccess;
  private readonly services: ControllerServices;
  private readonly cloud: CloudClient;
  private readonly cancellationRelay: CancellationRelay;
  private readonly peers: PeerLink;
  private readonly statuses: StatusExchange;
  private readonly leaderLease: LeaderLease;
  private readonly standby: StandbyRenewal;
  private readonly terms: LeadershipTerms;
  private readonly eventLoopDelay: EventLoopDelayMonitor;
  private readonly admission: Admission;
  private readonly statistics: ProcessStatistics;
  private readonly metrics: MetricsEndpoint;
  private readonly followerHeartbeats: FollowerHeartbeats;
  private readonly coordinator: PeerCoordinator;
  private readonly httpServer: HttpServer;

  constructor(
    private readonly runtime: Runtime,
    private readonly settings: Settings,
    private readonly log: Log,
  ) {
    const { deployment } = settings;
    this.heartbeatIntervalS = deployment.workers.report_s;
    this.sockets = socketShares(deployment.limits.sockets, settings.peers.length);
    this.state = accessState(runtime, settings, () => this.leader() !== null);
    this.services = makeServices(runtime, settings, log, this.state, () => this.defersCampaign());
    const cloudTimeoutMs = CLOUD_TIMEOUT * this.heartbeatIntervalS * 1000;
    this.cloud = new CloudClient(runtime, settings.external.cloud, cloudTimeoutMs);
    this.cancellationRelay = new CancellationRelay({
      ...this.services,
      leader: () => this.leader(),
      send: (frame) => this.peers.send(frame),
    });
    this.peers = makePeerLink(runtime, settings, () => this.cancellationRelay.greeting());
    this.statuses = this.makeStatusExchange();
    const limits = leaderLeaseLimits(settings);
    const leaseInputs = { ...this.services, statuses: this.statuses, limits };
    this.leaderLease = new LeaderLease(leaseInputs);
    this.standby = new StandbyRenewal(leaseInputs);
    const { heartbeatIntervalS } = this;
    this.admission = new Admission({ ...this.services, heartbeatIntervalS });
    this.statistics = this.makeStatistics();
    this.metrics = this.makeMetrics();
    this.terms = this.makeLeadershipTerms();
    this.eventLoopDelay = new EventLoopDelayMonitor(runtime);
    this.followerHeartbeats = new FollowerHeartbeats(runtime.clock, this.heartbeatIntervalS);
    this.coordinator = this.makePeerCoordinator();
    this.httpServer = this.makeHttpServer();
  }

  /**
   * Runs until the signal aborts, and resolves once all that was started has ended. Rejects, also only
   * then, with ListenError if an address cannot be had, or with an unexpected error of a duty.
   */
  async run(signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    // Every connection and duty listens to it, and there is one to each peer.
    setMaxListeners(0, stop.signal);
    const end = () => stop.abort();
    if (signal.aborted) end();
    signal.addEventListener('abort', end, { once: true });
    // What follows records must be there before the caches run.
    const { moves: limits, replicaGroups } = this.settings.operator;
    const moves = limits === null ? null : await this.loadShardMigration(limits);
    const { replicas } = this.services;
    if (replicaGroups !== null)
      replicas.support = await loadReplicaSupport(this.services, replicaGroups);
    const services = this.start(stop.signal);
    if (moves !== null) services.push(moves.run(stop.signal));
    try {
      await Promise.all(services);
    } finally {
      end();
      signal.removeEventListener('abort', end);
      this.cloud.close();
      this.state.client.close();
      await Promise.allSettled(services);
    }
  }

  private start(signal: AbortSignal): Promise<void>[] {
    this.peers.frames.subscribe(({ from, frame }) => {
      this.statistics.peerFrames++;
      this.coordinator.receive(from, frame);
    });
    return [
      this.httpServer.run(signal),
      this.state.world.run(signal),
      this.state.jobs.run(signal),
      this.services.election.run(signal),
      this.peers.run(signal),
      this.coordinator.run(signal),
      this.terms.run(signal),
      this.eventLoopDelay.run(signal),
      this.statistics.run(signal),
    ];
  }

  private loadShardMigration(limits: MoveSettings): Promise<ShardMigrator> {
    const { services, state, statuses, terms, settings } = this;
    const { silenceS } = leaderLeaseLimits(settings);
    const { world } = state;
    const shard = ONLY_SHARD;
    return loadShardMigrator({ ...services, world, statuses, terms, shard, silenceS }, limits);
  }

  /** The owner of the present term, null while nothing is owned here. */
  private leader(): ShardLeader | null {
    return this.terms.current;
  }

  private leaderLeaseState(): LeaderLeaseState {
    return this.leaderLease.stateFor(this.leader());
  }

  /** Others should own: the controller that our workers would try after us is silent, and others are not. */
  private defersCampaign(): boolean {
    const { host_name, peers } = this.settings;
    const names = peers.map((peer) => peer.host_name);
    const next = nextForWorkers(host_name, names);
    return leavesWorkersStranded(next === null ? null : this.statuses.statusOf(next), {
      now: this.runtime.clock.now(),
      peers: this.statuses.statuses(),
      silenceS: leaderLeaseLimits(this.settings).silenceS,
    });
  }

  private makeStatusExchange(): StatusExchange {
    return new StatusExchange({
      incarnation: Math.floor(this.runtime.random() * Number.MAX_SAFE_INTEGER),
      peers: this.settings.peers.map((peer) => peer.host_name),
      cancellations: this.services.cancellations,
      sendTo: (peer, frame) => this.peers.sendTo(peer, frame),
    });
  }

  private makePeerCoordinator(): PeerCoordinator {
    const { peers, statuses, followerHeartbeats, cancellationRelay, standby } = this;
    const leader = () => this.leader();
    return new PeerCoordinator({
      ...this.services,
      peers,
      statuses,
      followerHeartbeats,
      cancellationRelay,
      standby,
      leader,
    });
  }

  private makeStatistics(): ProcessStatistics {
    const { client } = this.state;
    return new ProcessStatistics({
      clock: this.runtime.clock,
      heartbeatIntervalS: this.heartbeatIntervalS,
      counted: () => ({
        stateRequests: client.requests,
        stateRefused: client.refused,
        stateChanges: client.changes,
      }),
      connections: () => this.httpServer.connections,
      onSample: (sample) =>
        this.log.info({ leading: this.leader() !== null, ...sample }, 'process statistics sampled'),
    });
  }

  private makeMetrics(): MetricsEndpoint {
    return new MetricsEndpoint({
      replicas: this.services.replicas,
      clock: this.runtime.clock,
      heartbeatIntervalS: this.heartbeatIntervalS,
      statistics: this.statistics,
      client: this.state.client,
      admission: this.admission,
      leader: () => this.leader(),
    });
  }

  private makeLeadershipTerms(): LeadershipTerms {
    return new LeadershipTerms({
      ...this.services,
      cloud: this.cloud,
      leaderLeaseState: () => this.leaderLeaseState(),
      onRound: (roundMs) => {
        this.statistics.rounds++;
        this.statistics.roundMs += roundMs;
        this.metrics.observeRound(roundMs);
      },
      directSockets: this.sockets.direct,
    });
  }

  private makeHttpServer(): HttpServer {
    const { services, settings, statuses, cancellationRelay, standby, followerHeartbeats } = this;
    const { statistics, metrics, eventLoopDelay, admission, sockets } = this;
    return makeHttpServer({
      services,
      maxConnections: sockets.server,
      statuses,
      cancellationRelay,
      standby,
      followerHeartbeats,
      statistics,
      metrics,
      eventLoopDelay,
      admission,
      leader: () => this.leader(),
      activeLeader: () => (this.leaderLeaseState() === 'none' ? null : this.leader()),
      silenceS: leaderLeaseLimits(settings).silenceS,
    });
  }
}
