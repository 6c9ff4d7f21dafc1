/** Simulates replicas of several members and the requests to them. */
import { type ReplicaClasses, replicaShapeOf } from '#replicas';
import { type Answer, brokenAnswers } from './replica-traffic/answers.js';
import { RunningMembers } from './replica-traffic/running-members.js';
import { RequestTraffic } from './replica-traffic/request-traffic.js';
import type { JobStorage, WorldEvent } from '../stand-ins/index.js';
import { USERS_HOST } from './addresses.js';
import type { ClusterSettings } from './cluster-settings.js';
import type { Machines } from './machines.js';
import type { SimulatedNetwork } from './network.js';
import type { World } from './world.js';

/** Seconds between two requests to a replica. */
const REQUEST_INTERVAL_S = 0.5;

/** The part of the cluster that the simulated replicas use. */
export interface ReplicaServiceOptions {
  world: World;
  network: SimulatedNetwork;
  machines: Machines;
  storage: JobStorage;
  settings: ClusterSettings;
}

/**
 * Replicas of several members in the simulated cluster, and requests to them; idle if the operators' settings
 * define no replica groups.
 */
export class ReplicaService {
  readonly members: RunningMembers;
  private readonly traffic: RequestTraffic;
  private readonly classes: ClusterSettings['operator']['replicaGroups'];

  constructor(private readonly options: ReplicaServiceOptions) {
    const { world, settings } = options;
    this.classes = settings.operator.replicaGroups;
    this.members = new RunningMembers((job) => this.membersOf(job));
    this.traffic = new RequestTraffic({
      members: this.members,
      chance: world.randomStream('requests to replicas'),
      now: () => world.now,
      schedule: (delayS, run) => void world.scheduleInternal(delayS, run),
      reaches: (from, to) => this.reaches(from, to),
      intervalS: REQUEST_INTERVAL_S,
      isFenced: true,
    });
  }

  start(): void {
    if (this.classes !== undefined) this.traffic.start();
  }

  observe(event: WorldEvent): void {
    if (this.classes !== undefined) this.members.observe(event);
  }

  get answers(): Answer[] {
    return this.traffic.answers;
  }

  /** Answers that were not produced by all members of a single generation of the replica. */
  get brokenAnswers(): Answer[] {
    return brokenAnswers(this.answers);
  }

  private membersOf(id: string): number {
    const job = this.options.storage.get(id)?.job;
    const classes = this.classes as ReplicaClasses | undefined;
    if (job === undefined || classes === undefined) return 1;
    return replicaShapeOf(job, classes)?.members ?? 1;
  }

  private reaches(from: string | null, to: string): boolean {
    const { network, machines } = this.options;
    const router = network.allHosts().find(({ address }) => address === USERS_HOST);
    const opener = from === null ? router : machines.get(from)?.host;
    const acceptor = machines.get(to)?.host;
    if (!opener || !acceptor?.powered) return false;
    return network.rules.effectOn(opener, acceptor) === null;
  }
}
