import type { PeerStatus } from '#controller';
import { Chance } from '../random.js';
import { LinkModel } from './link.js';
import { NodeModel, Statements } from './node.js';
import { ServiceModel } from './service.js';
import { CANCEL_S, FORMER_OWNER_S, GRACE_S, GRANT_S, LEASE_S, REPORT_S, STEP_S } from './timing.js';

/**
 * A small model of controllers that hold and lose a part: it runs the production code that judges
 * entitlement, keeps peer statements and lists cancellations, and models everything around it (state
 * service, grants, connections, crashes, users who cancel). One step is a quarter of a report period.
 */

/** One deliberate mistake, to show that the checks can fail. */
export type OwnershipFault =
  'none' | 'trusts-arrival' | 'trusts-restarted' | 'ignores-cancelled' | 'renews-for-the-living';

/** What the model found wrong. */
export type OwnershipViolation =
  'acts-beside-successor' | 'acts-on-unknown-cancellation' | 'renews-beside-owner';

export interface OwnershipRun {
  violations: Set<OwnershipViolation>;
  /** Steps in which an owner went on by the statements of its peers alone. */
  attestedSteps: number;
  /** Steps in which a node renewed leases for an owner that had ended. */
  standbySteps: number;
}

interface Confirmed {
  job: string;
  at: number;
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
  private readonly result: OwnershipRun = {
    violations: new Set(),
    attestedSteps: 0,
    standbySteps: 0,
  };
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
        if (message.kind === 'abort') node.cancellations.noteTold(message, this.now);
        else {
          node.table.heard(peer, message.frame, this.now);
          node.yieldTo(message.frame.holder.term);
          node.noteStandby(this.now, this.statements(node));
          if (this.fault === 'ignores-cancelled') continue;
          for (const notice of message.frame.cancelled) {
            node.cancellations.noteTold(notice, this.now);
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
      this.links.get(`${node.name} ${peer}`)!.send({ kind: 'abort', job, ageMs: 0 }, this.now);
    }
    this.service.cancel(job);
    this.confirmed.push({ job, at: this.now });
  }

  /** Whatever an owner does while it believes itself entitled must be harmless. */
  private check(node: NodeModel): void {
    const statements = this.statements(node);
    const entitlement = node.entitlement(this.now, statements);
    if (entitlement === 'attested') this.result.attestedSteps++;
    if (entitlement !== undefined && entitlement !== 'none') this.checkActing(node, node.term);
    if (!node.renews(this.now, statements)) return;
    this.result.standbySteps++;
    this.checkActing(node, node.holder.term);
    const owner = this.nodes.get(node.holder.name);
    if (owner?.judge && owner.term === node.holder.term) {
      this.result.violations.add('renews-beside-owner');
    }
  }

  private checkActing(node: NodeModel, term: number): void {
    for (const claim of this.service.claims) {
      // One that has ended counts on nothing any more.
      const living = this.nodes.get(claim.node)?.life === claim.life;
      const successor = living && claim.term > term && claim.life !== node.life;
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

  private statements(node: NodeModel): Statements {
    const peers = node.table.all().map((status) => this.distort(status));
    return { peers, owner: this.distort(node.table.get(node.holder.name) ?? null) };
  }

  /** A statement as a node with the seeded mistake takes it. */
  private distort(status: PeerStatus | null): PeerStatus | null {
    if (status === null) return null;
    const { frame, heardAt } = status;
    switch (this.fault) {
      case 'trusts-arrival':
        return { ...status, asOf: heardAt };
      case 'trusts-restarted':
        return { ...status, frame: { ...frame, loaded: true } };
      case 'renews-for-the-living':
        return { ...status, frame: { ...frame, mayOwn: false } };
      default:
        return status;
    }
  }
}
