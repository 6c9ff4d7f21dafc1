/** Stand-in of the state service: its protocol, its limits and faults that tests can inject. */
import type { Change, Condition, HostPort, Runtime, TxnOutcome } from '#wire';
import * as serving from '#wire/serving';
import type { Observer } from '../events.js';
import { NO_REPLY, serveCbor, type CborServer, type ServedRequest } from '../http-server.js';
import { Latency, NORMAL_LATENCY, type LatencyProfile } from '../latency.js';
import { RequestFault, type RequestFaultSettings } from '../request-fault.js';
import { RateLimit } from '../rate-limit.js';
import { Availability } from './availability.js';
import { KeyStore } from './key-store.js';
import { Leases } from './leases.js';
import { checkTxn, type StateServiceLimits, type Transaction } from './txn-limits.js';
import { Watchers } from './watchers.js';

const BURST_S = 1;
/** Default delay after which a transaction without an answer is applied, in seconds. */
const LATE_TXN_DELAY_S: [number, number] = [2, 12];

/** When a transaction arrived, which client sent it and whether it gets an answer. */
interface TxnArrival {
  /** Time on the service's clock, in seconds. */
  atS: number;
  clientHost: string;
  answered: boolean;
  repeated: boolean;
}

/** Serves the API of the state service: reads, transactions, watches and leases. */
export class StateService {
  readonly store = new KeyStore((keys) => {
    this.watchers.notify(keys);
  });
  private readonly leases: Leases;
  private readonly availability = new Availability();
  private readonly watchers: Watchers;
  private readonly latency: Latency;
  private readonly lostReplies: RequestFault;
  /** The fault in which transactions and requests about leases that were executed arrive once more. */
  readonly repeatedRequests: RequestFault;
  private requestRate: RateLimit;
  private changeRate: RateLimit;
  private readonly servers: CborServer[] = [];
  private closed = false;

  constructor(
    private readonly runtime: Runtime,
    private limits: StateServiceLimits,
    /** Receives an event for each transaction. */
    private readonly observer: Observer = () => undefined,
  ) {
    this.leases = new Leases(runtime, (id) => {
      this.deleteKeysOfLease(id);
    });
    this.watchers = new Watchers(runtime.clock);
    this.latency = new Latency(runtime);
    this.lostReplies = new RequestFault(runtime);
    this.repeatedRequests = new RequestFault(runtime);
    this.requestRate = new RateLimit(runtime.clock, limits.rps, BURST_S);
    this.changeRate = new RateLimit(runtime.clock, limits.writeRps, BURST_S);
  }

  /** Starts a server on the address. May be called for several addresses. */
  async listen(address: HostPort): Promise<CborServer> {
    const server = await serveCbor(this.runtime, address, (request) => this.handle(request));
    this.servers.push(server);
    return server;
  }

  close(): void {
    this.closed = true;
    this.leases.suspend();
    this.watchers.wakeAll();
    for (const server of this.servers) server.close();
  }

  /** Changes the limits. Entries that exceed the new limits stay readable. */
  changeLimits(changed: Partial<StateServiceLimits>): void {
    const { clock } = this.runtime;
    this.limits = { ...this.limits, ...changed };
    this.requestRate = new RateLimit(clock, this.limits.rps, BURST_S);
    this.changeRate = new RateLimit(clock, this.limits.writeRps, BURST_S);
  }

  /** Refuses all requests. Watches stay open and wait, and no lease ends. */
  beginOutage(): void {
    this.availability.setOutage(true);
    this.leases.suspend();
  }

  /** Ends the outage. Every lease gets its full time to live again. */
  endOutage(): void {
    this.availability.setOutage(false);
    this.leases.resume();
  }

  /** Refuses the requests of one client, so that its leases expire, while all others are served. */
  refuseClient(clientHost: string): void {
    this.availability.refuse(clientHost);
  }

  readmitClient(clientHost: string): void {
    this.availability.readmit(clientHost);
  }

  /** Sets the response times; without a profile, the usual ones. */
  setLatency(profile: LatencyProfile = NORMAL_LATENCY): void {
    this.latency.profile = profile;
  }

  /** Lets this share of transactions go unanswered and be applied late, after newer transactions. */
  beginLateTransactions(
    share: number,
    delayS: RequestFaultSettings['delayS'] = LATE_TXN_DELAY_S,
  ): void {
    this.lostReplies.begin({ share, delayS });
  }

  /** Lets this share of transactions go unanswered although they are applied at once. */
  beginLostReplies(share: number): void {
    this.lostReplies.begin({ share, delayS: null });
  }

  /** Ends late writes and lost answers. Transactions that were delayed before are still applied. */
  endReplyLoss(): void {
    this.lostReplies.end();
  }

  private async handle(request: ServedRequest): Promise<serving.WireReply | typeof NO_REPLY> {
    const { clientHost } = request;
    if (!this.availability.serves(clientHost)) return serving.UNAVAILABLE;
    if (!this.requestRate.tryTake(1)) return serving.TOO_MANY_REQUESTS;
    const parsed = serving.parseStateRequest(request);
    if (parsed.op === 'watch') return this.watch(parsed, clientHost);
    if (parsed.op === 'txn') return this.receiveTxn(parsed, request);
    return this.latency.delay(() => {
      if (!this.availability.serves(clientHost)) return serving.UNAVAILABLE;
      void this.repeat(() => this.execute(parsed));
      return this.execute(parsed);
    });
  }

  /** Executes a request once more if a copy of it arrives. Nobody gets the answer. */
  private async repeat(execute: () => unknown): Promise<void> {
    if (!(await this.repeatedRequests.nextCopy())) return;
    await this.availability.whenUp();
    if (!this.closed) execute();
  }

  private execute(
    request: Exclude<serving.StateRequest, { op: 'watch' | 'txn' }>,
  ): serving.WireReply {
    switch (request.op) {
      case 'get': {
        const entry = this.store.get(request.key);
        return entry ? serving.entryReply(entry) : serving.noEntryReply(this.store.revision);
      }
      case 'list': {
        const page = this.store.list(request.prefix, request.after, request.limit);
        return serving.listReply(page.entries, page.more, this.store.revision);
      }
      case 'grant':
        return serving.grantReply(this.leases.grant(request.ttlMs));
      case 'touch':
        return serving.leaseReply(this.leases.renew(request.lease));
      case 'drop':
        return serving.leaseReply(this.leases.end(request.lease));
    }
  }

  private async receiveTxn(
    txn: Transaction,
    request: ServedRequest,
  ): Promise<serving.WireReply | typeof NO_REPLY> {
    checkTxn(txn, request.body, this.limits);
    if (!this.changeRate.tryTake(txn.changes.length)) return serving.TOO_MANY_REQUESTS;
    const loss = this.lostReplies.draw();
    const { clientHost } = request;
    const arrival = { atS: this.runtime.clock.now(), clientHost, answered: false, repeated: false };
    if (loss) {
      await this.lostReplies.waitForDelay(loss);
      await this.availability.whenUp();
      this.runTxn(txn, arrival);
      return NO_REPLY;
    }
    return this.latency.delay(() => {
      if (!this.availability.serves(clientHost)) return serving.UNAVAILABLE;
      const outcome = this.runTxn(txn, { ...arrival, answered: true });
      if (outcome.ok) void this.repeat(() => this.runTxn(txn, { ...arrival, repeated: true }));
      return serving.txnReply(outcome);
    });
  }

  private runTxn({ conditions, changes }: Transaction, arrival: TxnArrival): TxnOutcome {
    const outcome = this.applyTxn(conditions, changes);
    const { atS, clientHost, answered, repeated } = arrival;
    const pendingS = this.runtime.clock.now() - atS;
    const { ok: applied } = outcome;
    const request = { clientHost, changes, answered, repeated, pendingS };
    this.observer({ kind: 'transaction', applied, ...request });
    return outcome;
  }

  private applyTxn(conditions: Condition[], changes: Change[]): TxnOutcome {
    const leaseGone = changes.some(
      (change) => 'put' in change && change.lease !== undefined && !this.leases.has(change.lease),
    );
    if (leaseGone) return { ok: false, leaseGone: true };
    const failed = this.store.failedConditions(conditions);
    if (failed.length > 0) return { ok: false, failed, revision: this.store.revision };
    if (changes.length > 0) this.store.apply(changes);
    return { ok: true, revision: this.store.revision };
  }

  private deleteKeysOfLease(lease: number): void {
    const keys = this.store.keysWithLease(lease);
    if (keys.length > 0) this.store.apply(keys.map((key) => ({ delete: key })));
  }

  private async watch(
    { prefix, after, waitMs }: { prefix: string; after: number; waitMs: number },
    clientHost: string,
  ): Promise<serving.WireReply> {
    const until = this.runtime.clock.now() + waitMs / 1000;
    for (;;) {
      await this.latency.delay(() => undefined);
      await this.availability.whenServed(clientHost);
      const outcome = this.store.changesAfter(prefix, after);
      const over = this.closed || this.runtime.clock.now() >= until;
      if (over || outcome === 'too-old' || outcome.events.length > 0) {
        return serving.watchReply(outcome);
      }
      await this.watchers.wait(prefix, until);
    }
  }
}
