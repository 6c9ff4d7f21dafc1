/** Random faults and cancellations of the leader election model. */
import type { SeededRandom } from '../../random.js';
import type { LeadershipCluster } from './cluster.js';
import { CANCEL_S, ELECTION_LEASE_S, LEASE_S, STEP_S } from './timing.js';

/** Probabilities per step, before multiplication with the run's fault rate factor. */
const OUTAGE_PROBABILITY = 0.004;
const REFUSAL_PROBABILITY = 0.01;
const CRASH_PROBABILITY = 0.004;
const FREEZE_PROBABILITY = 0.004;
const LINK_FAULT_PROBABILITY = 0.006;
/** Probabilities per step, the same in every run. */
const REFUSAL_THEN_OUTAGE_PROBABILITY = 0.004;
const CANCELLATION_PROBABILITY = 0.15;

/** Injects faults into a run, and cancellations by users. */
export class LeadershipFaults {
  /** Differs between runs, so that some leaders go without faults for a long time. */
  private readonly faultRateFactor: number;
  /** A cancellation that a peer is to confirm one step before an outage, and then to crash. */
  private plannedCancellation: { peer: string; at: number } | null = null;

  constructor(
    private readonly chance: SeededRandom,
    private readonly cluster: LeadershipCluster,
  ) {
    this.faultRateFactor = chance.next() ** 2;
  }

  /** Draws and starts the faults of this step. */
  injectFaults(): void {
    const { chance, cluster } = this;
    const { now } = cluster;
    const name = cluster.names[chance.int(0, 2)];
    const node = cluster.node(name);
    if (this.faultOccurs(OUTAGE_PROBABILITY)) {
      cluster.outage = { from: now, until: now + chance.next() * 3 * CANCEL_S };
    }
    if (this.faultOccurs(REFUSAL_PROBABILITY))
      cluster.refuse(name, now + chance.next() * 2 * CANCEL_S);
    if (this.faultOccurs(CRASH_PROBABILITY)) cluster.crash(name);
    else if (node && this.faultOccurs(FREEZE_PROBABILITY))
      node.frozenUntil = now + chance.next() * LEASE_S;
    this.injectLinkFaults(name, cluster.peersOf(name)[chance.int(0, 1)]);
    if (chance.withProbability(REFUSAL_THEN_OUTAGE_PROBABILITY)) this.planRefusalThenOutage();
  }

  /** Cancels a job at a controller that can record the cancellation, and that may crash immediately afterwards. */
  cancelAtRandom(): void {
    const { chance, cluster } = this;
    if (!chance.withProbability(CANCELLATION_PROBABILITY)) return;
    const { now, service } = cluster;
    const node = cluster
      .running()
      .find(
        ({ refused, jobsLoaded, lastServedAt }) => !refused && jobsLoaded && lastServedAt === now,
      );
    if (!node || service.down) return;
    cluster.cancel(node);
    if (chance.withProbability(0.3)) cluster.crash(node.name);
  }

  /** Carries out the cancellation and the crash that `planRefusalThenOutage` has planned, once they are due. */
  cancelBeforeOutage(): void {
    const { plannedCancellation, cluster } = this;
    if (plannedCancellation === null || cluster.now < plannedCancellation.at) return;
    this.plannedCancellation = null;
    const node = cluster.node(plannedCancellation.peer);
    if (!node || cluster.service.down || cluster.isRefused(node.name)) return;
    cluster.cancel(node);
    cluster.crash(node.name);
  }

  private faultOccurs(rate: number): boolean {
    return this.chance.withProbability(rate * this.faultRateFactor);
  }

  private injectLinkFaults(from: string, to: string): void {
    const { chance, cluster } = this;
    const { now } = cluster;
    const link = cluster.link(from, to);
    if (this.faultOccurs(LINK_FAULT_PROBABILITY)) link.heldUntil = now + chance.next() * CANCEL_S;
    if (this.faultOccurs(LINK_FAULT_PROBABILITY)) link.deadUntil = now + chance.next() * LEASE_S;
    if (this.faultOccurs(LINK_FAULT_PROBABILITY)) {
      link.delayS = chance.withProbability(0.5) ? STEP_S / 2 : chance.next() * 2 * CANCEL_S;
    }
  }

  /**
   * The state service first refuses only the leader, and shortly afterwards is down for all controllers. One step
   * before the outage, a peer that can't reach the leader may confirm a cancellation and then crash.
   */
  private planRefusalThenOutage(): void {
    const { cluster, chance } = this;
    const { now } = cluster;
    const leader = cluster.service.leader?.node;
    if (leader === undefined) return;
    cluster.refuse(leader, now + LEASE_S);
    const from = now + STEP_S + chance.next() * ELECTION_LEASE_S;
    cluster.outage = { from, until: from + (1 + chance.next()) * CANCEL_S };
    if (chance.withProbability(0.3)) this.delayStatuses(leader);
    if (chance.withProbability(0.5)) return;
    const peer = cluster.peersOf(leader)[chance.int(0, 1)];
    cluster.link(peer, leader).deadUntil = from + STEP_S;
    this.plannedCancellation = { peer, at: from - STEP_S };
  }

  /** Delays the statuses of the peers to the leader, which stays refused for some time after the outage. */
  private delayStatuses(leader: string): void {
    const { cluster, chance } = this;
    const delayS = (1 + chance.next()) * CANCEL_S;
    for (const peer of cluster.peersOf(leader)) cluster.link(peer, leader).delayS = delayS;
    cluster.refuse(leader, cluster.outage.until + 2 * CANCEL_S);
  }
}
