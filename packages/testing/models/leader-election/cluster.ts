/** The controllers, links and state service of the model of leader election. */
import type { SeededRandom } from '../../random.js';
import { LinkModel } from './link.js';
import { NodeModel } from './node.js';
import { ServiceModel } from './service.js';
import { LEASE_S } from './timing.js';

/** A cancellation that was confirmed to the user. */
export interface ConfirmedCancellation {
  job: string;
  at: number;
}

/** The nodes, the links between them, the state service, and the faults in effect. */
export class LeadershipCluster {
  /** Seconds since the start of the run. */
  now = 0;
  readonly service = new ServiceModel();
  readonly names = ['c-0', 'c-1', 'c-2'];
  readonly confirmed: ConfirmedCancellation[] = [];
  /** Time span in which the state service is down; seconds. */
  outage = { from: -Infinity, until: -Infinity };
  /** Current incarnation of each node; null while the node is down. */
  private readonly nodes = new Map<string, NodeModel | null>();
  private readonly restartsAt = new Map<string, number>();
  private readonly refusedUntil = new Map<string, number>();
  private readonly links = new Map<string, LinkModel>();
  private incarnations = 0;

  constructor(private readonly chance: SeededRandom) {
    for (const name of this.names) {
      this.start(name);
      for (const peer of this.peersOf(name)) this.links.set(`${name} ${peer}`, new LinkModel());
    }
  }

  peersOf(name: string): string[] {
    return this.names.filter((other) => other !== name);
  }

  node(name: string): NodeModel | null {
    return this.nodes.get(name) ?? null;
  }

  link(from: string, to: string): LinkModel {
    const link = this.links.get(`${from} ${to}`);
    if (!link) throw new Error(`there is no link from ${from} to ${to}`);
    return link;
  }

  /** Nodes that are neither down nor frozen. */
  running(): NodeModel[] {
    return this.names
      .map((name) => this.node(name))
      .filter((node): node is NodeModel => node !== null && this.now >= node.frozenUntil);
  }

  isDown(): boolean {
    return this.outage.from <= this.now && this.now < this.outage.until;
  }

  refuse(name: string, until: number): void {
    this.refusedUntil.set(name, until);
  }

  /** Whether the state service refuses the requests of this node. */
  isRefused(name: string): boolean {
    return this.now < (this.refusedUntil.get(name) ?? 0);
  }

  crash(name: string): void {
    this.nodes.set(name, null);
    this.restartsAt.set(name, this.now + this.chance.next() * 0.6 * LEASE_S);
  }

  /** Returns the node's current incarnation, after restarting it if its restart is due; null while it is down. */
  nodeOrRestarted(name: string): NodeModel | null {
    if (this.node(name) === null && this.now >= (this.restartsAt.get(name) ?? 0)) this.start(name);
    return this.node(name);
  }

  /** A user cancels a job at this node, which records the cancellation and sends it to its peers. */
  cancel(node: NodeModel): void {
    const { now, confirmed } = this;
    const job = `j-${confirmed.length + 1}`;
    node.cancellations.addRequested(job, now);
    for (const peer of this.peersOf(node.name)) {
      this.link(node.name, peer).send({ kind: 'cancel', job, ageMs: 0 }, now);
    }
    this.service.cancel(job);
    confirmed.push({ job, at: now });
  }

  private start(name: string): void {
    this.nodes.set(name, new NodeModel(name, ++this.incarnations, this.peersOf(name)));
  }
}
