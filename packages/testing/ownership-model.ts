import type { StatusFrame } from '#peer';
import {
  Cancellations,
  EntitlementJudge,
  graceAfterLoss,
  type PeerStatus,
  PeerStatusTable,
} from '#controller';
import { Chance } from './random.js';

/**
 * A small model of controllers that hold and lose a part: it runs the production code that judges
 * entitlement, keeps peer statements and lists cancellations, and models everything around it (state
 * service, grants, connections, crashes, users who cancel). One step is a quarter of a report period.
 */

const REPORT_S = 1;
const LEASE_S = 10;
const CANCEL_S = 35;
const STEP_S = REPORT_S / 4;
const GRANT_S = LEASE_S / 4;
const SILENCE_S = 2 * REPORT_S;
const GRACE_S = graceAfterLoss(CANCEL_S, LEASE_S, REPORT_S);
/** How long a new owner allows a former one to go on. */
const FORMER_OWNER_S = GRACE_S + 2 * REPORT_S;

/** One deliberate mistake, to show that the checks can fail. */
export type OwnershipFault = 'none' | 'trusts-arrival' | 'trusts-restarted' | 'ignores-cancelled';

/** What the model found wrong. */
export type OwnershipViolation = 'acts-beside-successor' | 'acts-on-unknown-cancellation';

export interface OwnershipRun {
  violations: Set<OwnershipViolation>;
  /** Steps in which an owner went on by the statements of its peers alone. */
  attestedSteps: number;
}

interface Claim {
  node: string;
  life: number;
  term: number;
  at: number;
}

interface Confirmed {
  job: string;
  at: number;
}

/** The state service: one revision, the part's holder, and the grants that it hangs on. */
class ServiceModel {
  revision = 10;
  holder: Claim | null = null;
  down = false;
  readonly claims: Claim[] = [];
  readonly cancelled: { job: string; revision: number }[] = [];
  private readonly grants = new Map<number, number>();

  renew(life: number, now: number): void {
    this.grants.set(life, now + GRANT_S);
  }

  claim(node: string, life: number, now: number): Claim {
    this.holder = { node, life, term: ++this.revision, at: now };
    this.claims.push(this.holder);
    return this.holder;
  }

  cancel(job: string): void {
    this.cancelled.push({ job, revision: ++this.revision });
  }

  /** Grants run out while the service is up, and have their full time again after an outage. */
  step(now: number, down: boolean): void {
    if (this.down && !down) {
      for (const life of this.grants.keys()) this.grants.set(life, now + GRANT_S);
    }
    this.down = down;
    if (down || this.holder === null) return;
    if (now > (this.grants.get(this.holder.life) ?? 0)) {
      this.holder = null;
      this.revision++;
    }
  }
}

/** One life of a controller. */
class NodeModel {
  readonly table: PeerStatusTable;
  readonly cancellations = new Cancellations(1000, 2 * CANCEL_S);
  judge: EntitlementJudge | null = null;
  term = 0;
  renewedAt = -Infinity;
  jobsCurrentAt = -Infinity;
  jobsRevision = 0;
  holder = { term: 0, name: '' };
  loaded = false;
  refused = false;
  lastOkAt = -Infinity;
  failingSince = Infinity;
  frozenUntil = -Infinity;

  constructor(
    readonly name: string,
    readonly life: number,
    private readonly peers: string[],
  ) {
    this.table = new PeerStatusTable(life, peers);
  }

  contact(service: ServiceModel, served: boolean, now: number): void {
    if (!served) {
      if (!this.refused) this.failingSince = now;
      this.refused = true;
      return;
    }
    this.refused = false;
    this.failingSince = Infinity;
    this.lastOkAt = now;
    service.renew(this.life, now);
    this.renewedAt = now;
    this.readJobs(service, now);
    if (service.holder === null) service.claim(this.name, this.life, now);
    this.follow(service.holder);
  }

  private readJobs(service: ServiceModel, now: number): void {
    for (const { job, revision } of service.cancelled) {
      if (revision > this.jobsRevision) this.cancellations.noteRecorded(job, revision);
    }
    this.jobsRevision = service.revision;
    this.jobsCurrentAt = now;
    this.loaded = true;
  }

  private follow(holder: Claim | null): void {
    this.holder = { term: holder?.term ?? 0, name: holder?.node ?? '' };
    const own = holder !== null && holder.life === this.life;
    if (!own) {
      this.judge = null;
      this.term = 0;
    } else if (this.term !== holder.term) {
      this.term = holder.term;
      const limits = { peerCount: this.peers.length, silenceS: SILENCE_S, graceS: GRACE_S };
      this.judge = new EntitlementJudge(limits);
    }
  }

  /** A peer has seen a newer owner, so the own term is over. */
  yieldTo(term: number): void {
    if (term <= this.term) return;
    this.judge = null;
    this.term = 0;
  }

  statusFor(peer: string, sequence: number, now: number): StatusFrame {
    const { life, refused, loaded, holder, jobsRevision } = this;
    const basis = this.table.get(peer)?.frame.jobsRevision ?? 0;
    const list = this.cancellations.listSince(basis, now);
    return {
      kind: 'status',
      life,
      sequence,
      echo: this.table.echoFor(peer),
      servedAgoMs: (now - this.lastOkAt) * 1000,
      refused,
      loaded,
      owner: this.judge !== null,
      mayOwn: this.judge !== null,
      holder,
      unownedReports: 0,
      jobsRevision,
      cancelledSince: list.since,
      cancelled: list.jobs,
    };
  }

  entitlement(now: number, peers: (PeerStatus | null)[]) {
    return this.judge?.judge({
      now,
      term: this.term,
      grantedUntil: this.renewedAt + GRANT_S * 0.95,
      grantAliveAt: this.renewedAt,
      jobsCurrentAt: this.jobsCurrentAt,
      jobsRevision: this.jobsRevision,
      failingSince: this.failingSince,
      peers,
    });
  }

  knows(job: string): boolean {
    return this.cancellations.listSince(0, 0).jobs.includes(job);
  }
}

type Message = { kind: 'status'; frame: StatusFrame } | { kind: 'abort'; job: string };

/** One direction between two nodes: in order, and slow, held back or dead for a while. */
class LinkModel {
  delayS = STEP_S / 2;
  heldUntil = -Infinity;
  deadUntil = -Infinity;
  private readonly queue: { at: number; message: Message }[] = [];

  send(message: Message, now: number): void {
    if (now >= this.deadUntil) this.queue.push({ at: now + this.delayS, message });
  }

  arrived(now: number): Message[] {
    if (now < this.heldUntil) return [];
    const next = this.queue.findIndex((m) => m.at > now);
    const out = this.queue.splice(0, next < 0 ? this.queue.length : next);
    return out.map((m) => m.message);
  }
}

/** Plays one world and returns what was broken: nothing, unless a fault is seeded. */
export function playOwnership(seed: number, fault: OwnershipFault, lengthS = 200): OwnershipRun {
  return new OwnershipWorld(seed, fault).play(lengthS);
}

class OwnershipWorld {
  private readonly chance: Chance;
  private readonly service = new ServiceModel();
  private readonly names = ['c-0', 'c-1', 'c-2'];
  private readonly nodes = new Map<string, NodeModel | null>();
  private readonly restartAt = new Map<string, number>();
  private readonly refusedUntil = new Map<string, number>();
  private readonly links = new Map<string, LinkModel>();
  private readonly confirmed: Confirmed[] = [];
  private readonly result: OwnershipRun = { violations: new Set(), attestedSteps: 0 };
  private outageFrom = -Infinity;
  private outageUntil = -Infinity;
  private lastCancellation: { peer: string; at: number } | null = null;
  /** Worlds differ in how much fails, so that some owners have long quiet spells between two troubles. */
  private readonly harshness: number;
  private lives = 0;
  private now = 0;

  constructor(
    seed: number,
    private readonly fault: OwnershipFault,
  ) {
    this.chance = new Chance(seed);
    this.harshness = this.chance.next() ** 2;
    for (const name of this.names) {
      this.start(name);
      for (const peer of this.peersOf(name)) this.links.set(`${name} ${peer}`, new LinkModel());
    }
  }

  play(lengthS: number): OwnershipRun {
    for (; this.now < lengthS; this.now += STEP_S) {
      this.injectFaults();
      this.service.step(this.now, this.outageFrom <= this.now && this.now < this.outageUntil);
      for (const name of this.names) this.stepNode(name);
      this.cancelSometimes();
      this.cancelAtLast();
      for (const node of this.running()) this.check(node);
    }
    return this.result;
  }

  private peersOf(name: string): string[] {
    return this.names.filter((other) => other !== name);
  }

  private running(): NodeModel[] {
    return this.names
      .map((name) => this.nodes.get(name) ?? null)
      .filter((node): node is NodeModel => node !== null && this.now >= node.frozenUntil);
  }

  private start(name: string): void {
    this.nodes.set(name, new NodeModel(name, ++this.lives, this.peersOf(name)));
  }

  private fails(rate: number): boolean {
    return this.chance.hit(rate * this.harshness);
  }

  private injectFaults(): void {
    const { chance, now } = this;
    const name = this.names[chance.int(0, 2)];
    const node = this.nodes.get(name);
    if (this.fails(0.004)) {
      this.outageFrom = now;
      this.outageUntil = now + chance.next() * 3 * CANCEL_S;
    }
    if (this.fails(0.01)) this.refusedUntil.set(name, now + chance.next() * 2 * CANCEL_S);
    if (this.fails(0.004)) this.crash(name);
    else if (node && this.fails(0.004)) node.frozenUntil = now + chance.next() * LEASE_S;
    const link = this.links.get(`${name} ${this.peersOf(name)[chance.int(0, 1)]}`)!;
    if (this.fails(0.006)) link.heldUntil = now + chance.next() * CANCEL_S;
    if (this.fails(0.006)) link.deadUntil = now + chance.next() * LEASE_S;
    if (this.fails(0.006))
      link.delayS = chance.hit(0.5) ? STEP_S / 2 : chance.next() * 2 * CANCEL_S;
    if (chance.hit(0.004)) this.refuseOwnerThenAll();
  }

  /**
   * The state service refuses the owner alone, and shortly afterwards everybody. In the last moment a
   * peer that can't reach the owner may confirm a cancellation, and crash.
   */
  private refuseOwnerThenAll(): void {
    const { service, chance, now } = this;
    const owner = service.holder?.node;
    if (owner === undefined) return;
    this.refusedUntil.set(owner, now + LEASE_S);
    this.outageFrom = now + STEP_S + chance.next() * GRANT_S;
    this.outageUntil = this.outageFrom + (1 + chance.next()) * CANCEL_S;
    if (chance.hit(0.3)) this.slowDown(owner);
    if (chance.hit(0.5)) return;
    const peer = this.peersOf(owner)[chance.int(0, 1)];
    this.links.get(`${peer} ${owner}`)!.deadUntil = this.outageFrom + STEP_S;
    this.lastCancellation = { peer, at: this.outageFrom - STEP_S };
  }

  /** What the peers say reaches the owner long after it was true, and it stays refused after the others. */
  private slowDown(owner: string): void {
    const delayS = (1 + this.chance.next()) * CANCEL_S;
    for (const peer of this.peersOf(owner)) this.links.get(`${peer} ${owner}`)!.delayS = delayS;
    this.refusedUntil.set(owner, this.outageUntil + 2 * CANCEL_S);
  }

  private cancelAtLast(): void {
    const { lastCancellation, now } = this;
    if (lastCancellation === null || now < lastCancellation.at) return;
    this.lastCancellation = null;
    const node = this.nodes.get(lastCancellation.peer);
    if (!node || this.service.down || now < (this.refusedUntil.get(node.name) ?? 0)) return;
    this.cancel(node);
    this.crash(node.name);
  }

  private crash(name: string): void {
    this.nodes.set(name, null);
    this.restartAt.set(name, this.now + this.chance.next() * 0.6 * LEASE_S);
  }

  private stepNode(name: string): void {
    if (this.nodes.get(name) === null) {
      if (this.now < (this.restartAt.get(name) ?? 0)) return;
      this.start(name);
    }
    const node = this.nodes.get(name)!;
    if (this.now < node.frozenUntil) return;
    this.receive(node);
    if (this.now % (REPORT_S / 2) === 0) {
      const served = !this.service.down && this.now >= (this.refusedUntil.get(name) ?? 0);
      node.contact(this.service, served, this.now);
      this.sendStatus(node);
    }
  }

  private receive(node: NodeModel): void {
    for (const peer of this.peersOf(node.name)) {
      for (const message of this.links.get(`${peer} ${node.name}`)!.arrived(this.now)) {
        if (message.kind === 'abort') node.cancellations.noteRequested(message.job, this.now);
        else {
          node.table.heard(peer, message.frame, this.now);
          node.yieldTo(message.frame.holder.term);
          if (this.fault === 'ignores-cancelled') continue;
          for (const job of message.frame.cancelled) {
            node.cancellations.noteRequested(job, this.now);
          }
        }
      }
    }
  }

  private sendStatus(node: NodeModel): void {
    const { sequence } = node.table.beginRound(this.now);
    for (const peer of this.peersOf(node.name)) {
      const frame = node.statusFor(peer, sequence, this.now);
      this.links.get(`${node.name} ${peer}`)!.send({ kind: 'status', frame }, this.now);
    }
  }

  /** A user cancels at some controller that can record it, and that may crash right afterwards. */
  private cancelSometimes(): void {
    if (!this.chance.hit(0.15)) return;
    const node = this.running().find((n) => !n.refused && n.loaded && n.lastOkAt === this.now);
    if (!node || this.service.down) return;
    this.cancel(node);
    if (this.chance.hit(0.3)) this.crash(node.name);
  }

  private cancel(node: NodeModel): void {
    const job = `j-${this.confirmed.length + 1}`;
    node.cancellations.noteRequested(job, this.now);
    for (const peer of this.peersOf(node.name)) {
      this.links.get(`${node.name} ${peer}`)!.send({ kind: 'abort', job }, this.now);
    }
    this.service.cancel(job);
    this.confirmed.push({ job, at: this.now });
  }

  /** Whatever an owner does while it believes itself entitled must be harmless. */
  private check(node: NodeModel): void {
    const entitlement = node.entitlement(this.now, this.statements(node));
    if (entitlement === undefined || entitlement === 'none') return;
    if (entitlement === 'attested') this.result.attestedSteps++;
    for (const claim of this.service.claims) {
      const successor = claim.term > node.term && claim.life !== node.life;
      if (successor && this.now > claim.at + FORMER_OWNER_S) {
        this.result.violations.add('acts-beside-successor');
      }
    }
    for (const { job, at } of this.confirmed) {
      const recent = this.now - at < 2 * CANCEL_S;
      if (recent && this.now > at + GRACE_S + STEP_S && !node.knows(job)) {
        this.result.violations.add('acts-on-unknown-cancellation');
      }
    }
  }

  private statements(node: NodeModel): (PeerStatus | null)[] {
    return node.table.all().map((status) => {
      if (status === null) return null;
      if (this.fault === 'trusts-arrival') return { ...status, asOf: status.heardAt };
      if (this.fault !== 'trusts-restarted') return status;
      return { ...status, frame: { ...status.frame, loaded: true } };
    });
  }
}
