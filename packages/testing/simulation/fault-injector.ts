/** Starts and ends the faults of a scenario. */
import type { Cluster } from './cluster.js';
import { FaultJournal } from './fault-journal.js';
import { CloudFaults } from './faults/cloud-faults.js';
import { beginControllerFault } from './faults/controller-faults.js';
import { faultLengthS } from './faults/duration.js';
import type { FaultEffect } from './faults/effect.js';
import { MachineFaults } from './faults/machine-faults.js';
import { beginMessageFault } from './faults/message-faults.js';
import { beginOperatorRequests } from './faults/operator-requests.js';
import type { Roles } from './faults/targets.js';
import { StateFaults } from './faults/state-faults.js';
import { beginUserFault } from './faults/user-faults.js';
import type { SimulatedMachine } from './machines.js';
import type {
  CloudFault,
  Fault,
  MachineFault,
  MessageFault,
  StateFault,
  UserFault,
} from './scenario.js';

/** Starts and ends the faults of a scenario at their times and records them in a journal. */
export class FaultInjector {
  readonly journal = new FaultJournal();
  private readonly stateFaults: StateFaults;
  private readonly cloudFaults: CloudFaults;
  private readonly machineFaults: MachineFaults;

  constructor(private readonly cluster: Cluster) {
    const { state, cloud, controllers, network, machines, world } = cluster;
    this.stateFaults = new StateFaults(state, controllers);
    this.cloudFaults = new CloudFaults(cloud);
    this.machineFaults = new MachineFaults(
      network,
      machines,
      cloud,
      world.randomStream('machine faults'),
      () => cluster.replicaPhases.machines,
    );
  }

  /** Schedules all faults; calls `onAllEnded` once all faults and their direct effects have ended. */
  schedule(faults: Fault[], onAllEnded: () => void): void {
    const { world, controllers } = this.cluster;
    let remaining = faults.length;
    if (remaining === 0) onAllEnded();
    for (const fault of faults) {
      const begin = () => {
        this.begin(fault);
        world.schedule(faultLengthS(fault, controllers.length), () => {
          remaining--;
          if (remaining === 0) onAllEnded();
        });
      };
      world.schedule(fault.atS - world.now, () => {
        this.beginWhenDue(fault, begin);
      });
    }
  }

  private beginWhenDue(fault: Fault, begin: () => void): void {
    const { afterTakeoverS, atMovePhase, atReplicaPhase } = fault;
    const { world, leadership, moves, replicaPhases } = this.cluster;
    if (atReplicaPhase !== undefined) replicaPhases.onNext(atReplicaPhase, begin);
    else if (atMovePhase !== undefined) moves.onNext(atMovePhase, begin);
    else if (afterTakeoverS === undefined) begin();
    else leadership.onNextChange(() => world.schedule(afterTakeoverS, begin));
  }

  private begin(fault: Fault): void {
    const { world, leadership } = this.cluster;
    const leader = leadership.current();
    const roles = { leaderName: leader?.leader ?? null, moves: this.cluster.moves };
    const effect = this.beginByKind(fault, roles);
    this.journal.recordStart(fault, effect, leader, world.now);
    const { end } = effect;
    if ('forS' in fault && end !== null) world.schedule(fault.forS, end);
  }

  private beginByKind(fault: Fault, roles: Roles): FaultEffect {
    if (isKindOf<StateFault>(fault, STATE_KINDS)) return this.stateFaults.begin(fault, roles);
    if (isKindOf<CloudFault>(fault, CLOUD_KINDS)) return this.cloudFaults.begin(fault);
    if (isKindOf<MachineFault>(fault, MACHINE_KINDS)) return this.machineFaults.begin(fault);
    if (isKindOf<MessageFault>(fault, MESSAGE_KINDS)) {
      return beginMessageFault(this.cluster.machines, fault);
    }
    if (isKindOf<UserFault>(fault, USER_KINDS)) return this.beginUserFault(fault);
    if (fault.kind === 'part-moves') return beginOperatorRequests(this.cluster, fault);
    const { world, network, controllers } = this.cluster;
    return beginControllerFault({ world, network, controllers, roles }, fault);
  }

  private beginUserFault(fault: UserFault): FaultEffect {
    const { world, users, machines, checker } = this.cluster;
    const hang = (targets: SimulatedMachine[]) => this.machineFaults.hang(targets);
    return beginUserFault({ world, users, machines, worldState: checker.state, hang }, fault);
  }
}

type Kinds<F extends Fault> = Record<F['kind'], true>;

const STATE_KINDS: Kinds<StateFault> = {
  'state-limits': true,
  'state-outage': true,
  'state-refuses': true,
  'state-slow': true,
  'late-writes': true,
  'repeated-writes': true,
  'lost-answers': true,
};
const CLOUD_KINDS: Kinds<CloudFault> = {
  'cloud-outage': true,
  'late-rentals': true,
  'repeated-rentals': true,
  'quick-boots': true,
};
const MACHINE_KINDS: Kinds<MachineFault> = {
  'machine-death': true,
  'machine-taken': true,
  'machine-hang': true,
  'machine-cut': true,
  'machine-deaf': true,
  'machine-mute': true,
  'zone-cut': true,
};
const MESSAGE_KINDS: Kinds<MessageFault> = {
  'late-reports': true,
  'late-commands': true,
  'repeated-commands': true,
};
const USER_KINDS: Kinds<UserFault> = {
  'cancel-now': true,
  'cancel-at-end': true,
  'odd-requests': true,
  'close-looks': true,
};

function isKindOf<F extends Fault>(fault: Fault, kinds: Kinds<F>): fault is F {
  return fault.kind in kinds;
}
