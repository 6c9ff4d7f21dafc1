/** The faults and cancellations of the model of leader election. */
import type { Chance } from '../../random.js';
import type { LeadershipCluster } from './cluster.js';
import { CANCEL_S, ELECTION_LEASE_S, LEASE_S, STEP_S } from './timing.js';

/** Chances in one step, before the harshness of the world counts. */
const OUTAGE = 0.004;
const REFUSAL = 0.01;
const CRASH = 0.004;
const FREEZE = 0.004;
const LINK_FAULT = 0.006;
/** Chances in one step, in every world alike. */
const REFUSED_THEN_OUTAGE = 0.004;
const CANCELLATION = 0.15;

/** What goes wrong in a world, and when users cancel. */
export class LeadershipFaults {
  /** Worlds differ in how much fails, so that some leaders have long times without faults. */
  private readonly harshness: number;
  /** A cancellation that a peer is to confirm in the last moment before it crashes. */
  private lastCancellation: { peer: string; at: number } | null = null;

  constructor(
    private readonly chance: Chance,
    private readonly cluster: LeadershipCluster,
  ) {
    this.harshness = chance.next() ** 2;
  }

  /** Begins the faults of this step, drawn at random. */
  inject(): void {
    const { chance, cluster } = this;
    const { now } = cluster;
    const name = cluster.names[chance.int(0, 2)];
    const node = cluster.node(name);
    if (this.fails(OUTAGE)) {
      cluster.outage = { from: now, until: now + chance.next() * 3 * CANCEL_S };
    }
    if (this.fails(REFUSAL)) cluster.refuse(name, now + chance.next() * 2 * CANCEL_S);
    if (this.fails(CRASH)) cluster.crash(name);
    else if (node && this.fails(FREEZE)) node.frozenUntil = now + chance.next() * LEASE_S;
    this.disturbLink(name, cluster.peersOf(name)[chance.int(0, 1)]);
    if (chance.hit(REFUSED_THEN_OUTAGE)) this.refuseLeaderThenAll();
  }

  /** A user cancels at some controller that can record it, and that may crash right afterwards. */
  cancelSometimes(): void {
    const { chance, cluster } = this;
    if (!chance.hit(CANCELLATION)) return;
    const { now, service } = cluster;
    const node = cluster
      .running()
      .find(({ refused, loaded, lastOkAt }) => !refused && loaded && lastOkAt === now);
    if (!node || service.down) return;
    cluster.cancel(node);
    if (chance.hit(0.3)) cluster.crash(node.name);
  }

  /** The cancellation that `refuseLeaderThenAll` has planned, and the crash after it. */
  cancelAtLast(): void {
    const { lastCancellation, cluster } = this;
    if (lastCancellation === null || cluster.now < lastCancellation.at) return;
    this.lastCancellation = null;
    const node = cluster.node(lastCancellation.peer);
    if (!node || cluster.service.down || cluster.isRefused(node.name)) return;
    cluster.cancel(node);
    cluster.crash(node.name);
  }

  private fails(rate: number): boolean {
    return this.chance.hit(rate * this.harshness);
  }

  private disturbLink(from: string, to: string): void {
    const { chance, cluster } = this;
    const { now } = cluster;
    const link = cluster.link(from, to);
    if (this.fails(LINK_FAULT)) link.heldUntil = now + chance.next() * CANCEL_S;
    if (this.fails(LINK_FAULT)) link.deadUntil = now + chance.next() * LEASE_S;
    if (this.fails(LINK_FAULT)) {
      link.delayS = chance.hit(0.5) ? STEP_S / 2 : chance.next() * 2 * CANCEL_S;
    }
  }

  /**
   * The state service refuses the leader alone, and shortly afterwards everybody. In the last moment a
   * peer that can't reach the leader may confirm a cancellation, and crash.
   */
  private refuseLeaderThenAll(): void {
    const { cluster, chance } = this;
    const { now } = cluster;
    const leader = cluster.service.leader?.node;
    if (leader === undefined) return;
    cluster.refuse(leader, now + LEASE_S);
    const from = now + STEP_S + chance.next() * ELECTION_LEASE_S;
    cluster.outage = { from, until: from + (1 + chance.next()) * CANCEL_S };
    if (chance.hit(0.3)) this.slowDown(leader);
    if (chance.hit(0.5)) return;
    const peer = cluster.peersOf(leader)[chance.int(0, 1)];
    cluster.link(peer, leader).deadUntil = from + STEP_S;
    this.lastCancellation = { peer, at: from - STEP_S };
  }

  /** What the peers say reaches the leader long after it was true, and it stays refused after the others. */
  private slowDown(leader: string): void {
    const { cluster, chance } = this;
    const delayS = (1 + chance.next()) * CANCEL_S;
    for (const peer of cluster.peersOf(leader)) cluster.link(peer, leader).delayS = delayS;
    cluster.refuse(leader, cluster.outage.until + 2 * CANCEL_S);
  }
}
