/**
 * A randomised model of controllers that become leader and step down. It runs the production code that checks the
 * leader lease, keeps peer statuses and lists cancellations. The environment is modelled: state service, election
 * leases, connections, crashes, users who cancel. One step is a quarter of a heartbeat interval.
 */
import { SeededRandom } from '../../random.js';
import { LeadershipChecks } from './checks.js';
import { LeadershipCluster } from './cluster.js';
import { LeadershipFaults } from './faults.js';
import type { Message } from './link.js';
import type { SeededLeadershipFault, LeadershipRun } from './model.js';
import type { NodeModel } from './node.js';
import { observedStatuses } from './observed-statuses.js';
import { HEARTBEAT_INTERVAL_S, STEP_S } from './timing.js';

/** Runs the model with one seed. The result has no violations unless a fault is seeded. */
export function runLeaderElectionModel(
  seed: number,
  seededFault: SeededLeadershipFault,
  lengthS = 200,
): LeadershipRun {
  return new LeadershipSimulation(seed, seededFault).run(lengthS);
}

class LeadershipSimulation {
  private readonly cluster: LeadershipCluster;
  private readonly faults: LeadershipFaults;
  private readonly checks: LeadershipChecks;

  constructor(
    seed: number,
    private readonly seededFault: SeededLeadershipFault,
  ) {
    const chance = new SeededRandom(seed);
    this.cluster = new LeadershipCluster(chance);
    this.faults = new LeadershipFaults(chance, this.cluster);
    this.checks = new LeadershipChecks(this.cluster, seededFault);
  }

  run(lengthS: number): LeadershipRun {
    const { cluster, faults, checks } = this;
    for (; cluster.now < lengthS; cluster.now += STEP_S) {
      faults.injectFaults();
      cluster.service.step(cluster.now, cluster.isDown());
      for (const name of cluster.names) this.stepNode(name);
      faults.cancelAtRandom();
      faults.cancelBeforeOutage();
      for (const node of cluster.running()) checks.check(node);
    }
    return checks.result;
  }

  private stepNode(name: string): void {
    const { cluster } = this;
    const { now, service } = cluster;
    const node = cluster.nodeOrRestarted(name);
    if (node === null || now < node.frozenUntil) return;
    this.receive(node);
    if (now % (HEARTBEAT_INTERVAL_S / 2) === 0) {
      node.contactService(service, !service.down && !cluster.isRefused(name), now);
      this.sendStatus(node);
    }
  }

  private receive(node: NodeModel): void {
    const { cluster } = this;
    for (const peer of cluster.peersOf(node.name)) {
      const messages = cluster.link(peer, node.name).takeArrived(cluster.now);
      for (const message of messages) this.receiveMessage(node, peer, message);
    }
  }

  private receiveMessage(node: NodeModel, from: string, message: Message): void {
    const { now } = this.cluster;
    if (message.kind === 'cancel') {
      node.cancellations.addFromPeer(message, now);
      return;
    }
    const { frame } = message;
    node.statusTable.accept(from, frame, now);
    node.stepDownFor(frame.newestLeader.term);
    node.recordStatuses(now, observedStatuses(node, this.seededFault));
    if (this.seededFault === 'ignores-peer-cancellations') return;
    for (const notice of frame.cancelled) node.cancellations.addFromPeer(notice, now);
  }

  private sendStatus(node: NodeModel): void {
    const { cluster } = this;
    const { now } = cluster;
    const { sequence } = node.statusTable.beginRound(now);
    for (const peer of cluster.peersOf(node.name)) {
      const frame = node.statusFor(peer, sequence, now);
      cluster.link(node.name, peer).send({ kind: 'status', frame }, now);
    }
  }
}
