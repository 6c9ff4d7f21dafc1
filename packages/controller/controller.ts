import { setMaxListeners } from 'node:events';
import { filter, Subscription } from 'rxjs';
import {
  aborted,
  answerToWire,
  Clock,
  CloudClient,
  MalformedBody,
  parseHostPort,
  parseReport,
  pause,
  redirectToWire,
  Runtime,
  StateApi,
} from '#wire';
import { PeerLink } from '#peer';
import { GroupCommit, JOBS, Ownership, PrefixCache, StateClient, Term, WORLD } from '#store';
import { CloudDuty } from './cloud.js';
import { Cancellations } from './cancellations.js';
import { cutFromWorkers, Entitlement, EntitlementJudge } from './entitlement.js';
import { graceAfterLoss } from './time-bounds.js';
import { isHealthy } from './health.js';
import { readBody, reply } from './http-bodies.js';
import { HttpServer } from './http-server.js';
import { JobTable } from './jobs.js';
import { LagMonitor } from './lag.js';
import type { Log } from './log.js';
import { MachineTypes } from './machine-types.js';
import { MetricsEndpoint } from './metrics-endpoint.js';
import { PartOwner } from './owner.js';
import { TermBroken } from './recorder.js';
import { Settings, teamTerms } from './settings.js';
import { StatusExchange } from './status-exchange.js';
import { socketShares, WorkerLines } from './sockets.js';
import { UserApi } from './user-api.js';
import { Vitals } from './vitals.js';

const WATCH_MS = 10_000;
/** Shares of a report period for which changes of jobs gather, at the owner and elsewhere. */
const OWNER_GATHERS = 1 / 50;
const OTHERS_GATHER = 1 / 2;
/** Report periods within which a worker counts as heard, here or by a peer. */
const STRAY_REPORTS = 3;
/**
 * Shares of the state service's rates that one controller may use: of requests, and of changes while it
 * owns or does not. The owner's records are nearly all changes that there are.
 */
const STATE_SHARE = 0.55;
const OWNER_WRITES = 0.8;
const OTHERS_WRITE = 0.3;
/** Jobs whose counts share a frame. */
const COUNTS_A_FRAME = 500;
/** Cancellations whose records are remembered, to be told to peers that have not read them. */
const RECORDED_CANCELLATIONS = 2000;

export class Controller {
  private readonly clock: Clock;
  private readonly client: StateClient;
  private readonly world: PrefixCache;
  private readonly jobs: JobTable;
  private readonly ownership: Ownership;
  private readonly peers: PeerLink;
  private readonly cloud: CloudClient;
  private readonly statuses: StatusExchange;
  /** Workers that reported here though we do not own, and when. */
  private readonly strays = new Map<string, number>();
  private readonly cancellations: Cancellations;
  private readonly types: MachineTypes;
  private owner: PartOwner | null = null;
  private readonly httpServer: HttpServer;
  private readonly vitals: Vitals;
  private readonly sockets: { server: number; direct: number };
  private readonly workerLines = new WorkerLines();
  private readonly metrics: MetricsEndpoint;
  private judge: EntitlementJudge | null = null;
  private readonly lag: LagMonitor;
  private readonly reportS: number;

  constructor(
    private readonly runtime: Runtime,
    private readonly settings: Settings,
    private readonly log: Log,
  ) {
    this.clock = runtime.clock;
    const { deployment: d, external, operator } = settings;
    this.reportS = d.workers.report_s;
    this.cancellations = new Cancellations(RECORDED_CANCELLATIONS, 2 * d.workers.cancel_s);
    this.lag = new LagMonitor(this.clock);
    this.sockets = socketShares(d.limits.sockets, settings.peers.length);
    const timeoutMs = this.reportS * 1000;
    this.client = new StateClient(
      this.clock,
      new StateApi(runtime, external.state, timeoutMs),
      {
        rps: d.state.rps,
        writeRps: d.state.write_rps,
        valueBytes: Math.floor(d.state.value_kb * 1024),
        txnOps: d.state.txn_ops,
      },
      d.nodes === 1 ? 0.9 : STATE_SHARE,
    );
    this.vitals = new Vitals({
      clock: this.clock,
      reportS: this.reportS,
      counted: () => ({
        stateRequests: this.client.requests,
        stateRefused: this.client.refused,
        stateChanges: this.client.changes,
      }),
      connections: () => this.httpServer.connections,
      onLook: (look) => this.log.info({ owner: this.owner !== null, ...look }, 'vitals'),
    });
    this.metrics = new MetricsEndpoint({
      clock: this.clock,
      reportS: this.reportS,
      vitals: this.vitals,
      client: this.client,
      owner: () => this.owner,
    });
    // Questions wait at the most a fifth of a report period for the read index, and share it.
    const syncSpacingMs = Math.max((5 * d.nodes * 1000) / d.state.rps, timeoutMs / 5);
    const gatherMs = () => timeoutMs * (this.owner ? OWNER_GATHERS : OTHERS_GATHER);
    const caching = { client: this.client, runtime, watchMs: WATCH_MS, syncSpacingMs };
    this.world = new PrefixCache({ ...caching, prefix: WORLD });
    this.types = new MachineTypes(this.client, this.world);
    this.jobs = new JobTable(
      new PrefixCache({ ...caching, prefix: JOBS, gatherMs }),
      this.cancellations,
    );
    this.ownership = new Ownership({
      client: this.client,
      runtime,
      cache: this.world,
      name: settings.host_name,
      part: 0,
      ttlS: operator.ownerTtlS,
    });
    this.peers = new PeerLink({
      runtime,
      self: settings.host_name,
      listen: parseHostPort(settings.cluster_listen),
      peers: settings.peers.map((p) => ({ name: p.host_name, addr: p.peer_addr })),
      retryMs: timeoutMs / 2,
      greeting: () =>
        this.cancellations.requestedJobs(this.clock.now()).map((job) => ({ kind: 'abort', job })),
    });
    this.statuses = new StatusExchange({
      life: Math.floor(runtime.random() * Number.MAX_SAFE_INTEGER),
      peers: settings.peers.map((peer) => peer.host_name),
      cancellations: this.cancellations,
      sendTo: (peer, frame) => this.peers.sendTo(peer, frame),
    });
    this.cloud = new CloudClient(runtime, external.cloud, 4 * timeoutMs);
    this.httpServer = this.makeHttpServer();
  }

  /**
   * Runs until the signal aborts. Resolves once all that was started has ended; rejects with ListenError
   * if an address cannot be had, also only then.
   */
  async run(signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    // Every connection and duty listens to it, and there is one to each peer.
    setMaxListeners(0, stop.signal);
    const end = () => stop.abort();
    if (signal.aborted) end();
    signal.addEventListener('abort', end, { once: true });
    const duties = this.start(stop.signal);
    try {
      await Promise.all(duties);
    } finally {
      end();
      signal.removeEventListener('abort', end);
      this.cloud.close();
      this.client.close();
      await Promise.allSettled(duties);
    }
  }

  private start(signal: AbortSignal): Promise<void>[] {
    this.peers.heard.subscribe(({ from, frame }) => {
      const now = this.clock.now();
      this.vitals.peerFrames++;
      if (frame.kind === 'status') {
        this.statuses.receive(from, frame, now);
        this.endCancelled();
        this.yieldTo(frame.holder);
      } else if (frame.kind === 'counts') {
        for (const c of frame.jobs) this.jobs.noteCounts(c.job, c.done, c.running);
      } else if (frame.kind === 'abort') this.abortAsked(frame.job);
    });
    return [
      this.httpServer.run(signal),
      this.world.run(signal),
      this.jobs.cache.run(signal),
      this.ownership.run(signal),
      this.peers.run(signal),
      this.statusDuty(signal),
      this.ownerDuty(signal),
      this.lag.run(signal),
      this.vitals.run(signal),
    ];
  }

  private makeHttpServer(): HttpServer {
    const { deployment, listen } = this.settings;
    return new HttpServer({
      network: this.runtime.network,
      address: parseHostPort(listen),
      maxConnections: this.sockets.server,
      mount: (app) => {
        app.get('/healthz', (_req, res) => {
          const ok = this.healthy();
          reply(res, ok ? 200 : 503, { ok });
        });
        this.metrics.mount(app);
        new UserApi({
          clock: this.clock,
          client: this.client,
          commits: new GroupCommit(this.client, Math.ceil(deployment.state.write_rps * 2)),
          jobs: this.jobs,
          teams: teamTerms(deployment.teams),
          types: () => this.types.all(),
          onRequest: (kind) => {
            this.vitals.questions++;
            return this.metrics.timeQuestion(kind);
          },
          overloaded: () => this.lag.overloaded,
          onAbort: (id) => {
            this.abortAsked(id);
            this.peers.send({ kind: 'abort', job: id });
          },
          crowded: () => this.httpServer.crowded,
        }).mount(app);
      },
      onReport: (body, res) => {
        const answered = this.metrics.timeReport();
        this.hello(body, res);
        answered();
      },
    });
  }

  private healthy(): boolean {
    const { lastOkAt, lastFailAt, failing } = this.client;
    return isHealthy({
      now: this.clock.now(),
      loaded: this.jobs.cache.ready && this.types.all().length > 0,
      refused: failing,
      lastOkAt,
      lastFailAt,
      peers: this.statuses.statuses(),
      patienceS: 2 * this.reportS,
    });
  }

  private entitled(): Entitlement {
    if (!this.owner || !this.judge) return 'none';
    return this.judge.judge({
      now: this.clock.now(),
      term: this.owner.term.term,
      grantedUntil: this.ownership.provenUntil,
      grantAliveAt: this.ownership.renewedAt,
      jobsCurrentAt: this.jobs.cache.syncedAt,
      jobsRevision: this.jobs.cache.completeTo,
      failingSince: this.client.failingSince,
      peers: this.statuses.statuses(),
    });
  }

  private makeJudge(): EntitlementJudge {
    const { cancel_s, lease_s, report_s } = this.settings.deployment.workers;
    return new EntitlementJudge({
      peerCount: this.settings.deployment.nodes - 1,
      silenceS: 2 * report_s,
      graceS: graceAfterLoss(cancel_s, lease_s, report_s),
    });
  }

  private hello(body: unknown, res: Parameters<typeof reply>[0]): void {
    let report;
    try {
      report = parseReport(readBody(body));
    } catch (err) {
      reply(res, 400, { error: err instanceof MalformedBody ? err.message : 'unreadable' });
      return;
    }
    this.vitals.reports++;
    const owner = this.owner;
    if (owner && this.entitled() !== 'none') {
      if (!owner.ready) {
        // While the records are being read the leases must not run out. Nothing can be started yet,
        // but what users have cancelled ends.
        const stops = report.tasks
          .filter((task) => task.state !== 'exited' && this.jobs.isCancelled(task.job))
          .map(({ job, index, attempt }) => ({
            op: 'stop' as const,
            graceS: 0,
            job,
            index,
            attempt,
          }));
        reply(res, 200, answerToWire(owner.term.term, stops));
        return;
      }
      if (report.token > owner.tokenFor(report.machine)) {
        // Somebody newer commands this worker: what we hold is out of date.
        this.log.info({ machine: report.machine, token: report.token }, 'a newer token is out');
        this.ownership.resign();
        reply(res, 421, redirectToWire(null));
        return;
      }
      const orders = owner.report(report);
      // A late copy gets a token that its worker drops, since the answer is not counted as a renewal.
      const token = orders === null ? 0 : owner.tokenFor(report.machine);
      if (orders !== null) this.workerLines.heard(report.machine, res.socket);
      reply(res, 200, answerToWire(token, orders ?? []));
      return;
    }
    const holder = this.ownership.holder;
    this.strays.set(report.machine, this.clock.now());
    if (holder && holder.owner !== this.settings.host_name) {
      reply(res, 421, redirectToWire(holder.owner));
    } else reply(res, 503, { error: 'no owner yet' });
  }

  /**
   * The record comes by the watch, or not at all if an outage begins in between; the tasks end in any
   * case.
   */
  private abortAsked(id: string): void {
    this.cancellations.noteRequested(id, this.clock.now());
    this.endCancelled();
  }

  private endCancelled(): void {
    const now = this.clock.now();
    if (!this.owner?.ready) return;
    for (const id of this.cancellations.requestedJobs(now)) this.owner.abort(id, now);
  }

  /** A peer has seen a newer owner, so our term is over. */
  private yieldTo(holder: { term: number; name: string }): void {
    const term = this.owner?.term.term;
    if (term === undefined || holder.term <= term) return;
    this.log.info({ term, newer: holder.term, owner: holder.name }, 'a newer owner is known');
    this.ownership.resign();
  }

  private async statusDuty(signal: AbortSignal): Promise<void> {
    let round = 0;
    while (!signal.aborted) {
      this.sendStatus();
      this.yieldIfCut();
      this.endCancelled();
      if (this.owner && round++ % 2 === 0) {
        // Cancellations that others took must be known, however quiet the users are here.
        this.jobs.cache.sync().catch(() => {});
        if (this.owner.ready) this.sendCounts(this.owner);
      }
      await pause(this.clock, this.reportS * 500, signal);
    }
  }

  private sendCounts(owner: PartOwner): void {
    const counts = owner.counts();
    for (const c of counts) this.jobs.noteCounts(c.job, c.done, c.running);
    for (let i = 0; i < counts.length; i += COUNTS_A_FRAME) {
      this.peers.send({ kind: 'counts', jobs: counts.slice(i, i + COUNTS_A_FRAME) });
    }
  }

  private sendStatus(): void {
    const now = this.clock.now();
    const own = {
      servedAgoMs: (now - this.client.lastOkAt) * 1000,
      refused: this.client.failing,
      loaded: this.jobs.cache.ready,
      owner: this.owner !== null,
      mayOwn: this.ownership.mayOwn,
      holder: this.ownership.newestHolder,
      strays: this.recentStrays(),
      jobsRevision: this.jobs.cache.completeTo,
    };
    this.statuses.send(own, now);
  }

  private recentStrays(): number {
    const since = this.clock.now() - STRAY_REPORTS * this.reportS;
    for (const [machine, at] of this.strays) if (at < since) this.strays.delete(machine);
    return this.strays.size;
  }

  /** Leaves the part to a controller that the workers can reach. */
  private yieldIfCut(): void {
    const { owner } = this;
    const now = this.clock.now();
    const { lease_s: leaseS } = this.settings.deployment.workers;
    // After a take-over the workers need some time to find us; a whole lease of it is too long, since an
    // owner that none of them ever reaches would let all their leases run out.
    if (!owner?.ready || now - owner.startedAt < (STRAY_REPORTS + 1) * this.reportS) return;
    // While the state service refuses us, nobody can take the part over that we give up.
    if (this.client.failing) return;
    const { machines, heard } = owner.hearing(now, STRAY_REPORTS * this.reportS);
    let strays = 0;
    for (const peer of this.statuses.statuses()) {
      if (peer && now - peer.heardAt <= 2 * this.reportS) strays += peer.frame.strays;
    }
    if (!cutFromWorkers(machines, heard, strays)) return;
    this.log.info({ term: owner.term.term, machines, heard, strays }, 'cut from the workers');
    this.ownership.resign(leaseS);
  }

  private shareWrites(share: number): void {
    if (this.settings.deployment.nodes > 1) this.client.shareWrites(share);
  }

  private async ownerDuty(signal: AbortSignal): Promise<void> {
    this.shareWrites(OTHERS_WRITE);
    let current: { term: Term; stop: AbortController } | null = null;
    const running = new Set<Promise<void>>();
    const terms: Subscription = this.ownership.term
      .pipe(filter((t) => t?.term !== current?.term.term))
      .subscribe((term) => {
        current?.stop.abort();
        current = null;
        this.owner = null;
        this.shareWrites(term ? OWNER_WRITES : OTHERS_WRITE);
        if (!term) return;
        this.log.info({ term: term.term }, 'term begins');
        const stop = new AbortController();
        current = { term, stop };
        const done = this.own(term, AbortSignal.any([signal, stop.signal]));
        running.add(done);
        void done.finally(() => running.delete(done));
      });
    await aborted(signal);
    terms.unsubscribe();
    await Promise.all(running);
  }

  private async own(term: Term, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const owner = this.makeOwner(term);
      const duty = this.makeCloudDuty(owner);
      this.owner = owner;
      this.judge = this.makeJudge();
      const both = new AbortController();
      const own = AbortSignal.any([signal, both.signal]);
      // Every call to a worker listens to it.
      setMaxListeners(0, own);
      const cloud = duty.run(own);
      try {
        await owner.run(own);
      } catch (err) {
        if (signal.aborted) return;
        // A book that has given orders knows what may still arrive; it can't be made anew in its term.
        if (err instanceof TermBroken || owner.ready) {
          this.log.info({ why: String(err), term: term.term }, 'term given up');
          this.ownership.resign();
          return;
        }
        this.log.debug({ err: String(err) }, 'owner starts anew');
        await pause(this.clock, this.reportS * 200, signal);
      } finally {
        both.abort();
        await cloud;
      }
    }
  }

  private makeOwner(term: Term): PartOwner {
    return new PartOwner({
      runtime: this.runtime,
      settings: this.settings,
      client: this.client,
      jobs: this.jobs,
      term,
      types: () => this.types.all(),
      entitled: () => this.entitled() !== 'none',
      onRound: (roundMs) => {
        this.vitals.rounds++;
        this.vitals.roundMs += roundMs;
        this.metrics.observeRound(roundMs);
      },
      directSockets: this.sockets.direct,
      log: this.log,
    });
  }

  private makeCloudDuty(owner: PartOwner): CloudDuty {
    const { deployment, host_name } = this.settings;
    return new CloudDuty({
      runtime: this.runtime,
      cloud: this.cloud,
      owner,
      name: host_name,
      rps: deployment.cloud.rps,
      listLagS: deployment.cloud.list_lag_s,
      reportS: this.reportS,
      leaseS: deployment.workers.lease_s,
      onTypes: (types, signal) => this.types.publish(types, signal),
      mayRent: () => ['granted', 'attested'].includes(this.entitled()),
      mayRelease: () => this.entitled() === 'granted' && !this.client.failing,
      log: this.log,
    });
  }
}
