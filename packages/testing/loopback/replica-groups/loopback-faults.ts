import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../../random.js';
import type { LoopbackCluster } from '../sizing/cluster.js';

/** Length of a hang or cut of a machine, in leases; longer than the machine takes to lose its tasks. */
const LONG_FAULT_LEASES = 1.4;
const DOWN_S = 1;
const STOPPED_S = 4;
/** The longest time from the failure of a machine to that of a controller. */
const MAX_CONTROLLER_FAULT_DELAY_S = 8;

type MachineFault = 'killed' | 'frozen' | 'cut';
const MACHINE_FAULTS: MachineFault[] = ['killed', 'frozen', 'cut'];

/** Injects crashes, hangs and network cuts of machines, and crashes and stops of controllers, on the loopback. */
export class LoopbackFaults {
  /** How often each fault was injected. */
  readonly counts: Record<string, number> = {};
  private readonly isolatedMachines = new Set<string>();

  constructor(
    private readonly cluster: LoopbackCluster,
    private readonly chance: SeededRandom,
    private readonly leaseS: number,
  ) {}

  /** Whether a machine, or the request router (null), can reach another machine. */
  canReach(from: string | null, to: string): boolean {
    return !(this.isolatedMachines.has(to) || (from !== null && this.isolatedMachines.has(from)));
  }

  /** Injects a random fault into a machine; resolves once the machine is killed or has recovered. */
  async failMachine(name: string): Promise<void> {
    const { cluster, chance } = this;
    const kind = MACHINE_FAULTS[chance.int(0, MACHINE_FAULTS.length - 1)];
    const worker = cluster.fleet.worker(name);
    if (!worker) return;
    this.countFault(kind);
    if (kind === 'killed') {
      cluster.cloud.kill(name);
      return;
    }
    // Half of the machines that are cut off from the controllers can still be reached by other machines and the router.
    const isCutFromAll = kind === 'cut' && chance.withProbability(0.5);
    if (kind === 'frozen') worker.hang();
    else worker.setInboundBlocked(true);
    if (kind === 'cut') worker.setHeartbeatsBlocked(true);
    if (isCutFromAll) this.isolatedMachines.add(name);
    await sleep(LONG_FAULT_LEASES * this.leaseS * 1000);
    this.isolatedMachines.delete(name);
    if (kind === 'frozen') worker.resume();
    else worker.setInboundBlocked(false);
    worker.setHeartbeatsBlocked(false);
  }

  /** After a random delay, kills and restarts the leader or another controller, or stops its process for a while. */
  async failController(): Promise<void> {
    const { cluster, chance } = this;
    await sleep(chance.next() * MAX_CONTROLLER_FAULT_DELAY_S * 1000);
    const leader = cluster.leader();
    const running = cluster.controllers.filter((each) => each.running);
    const victim = leader !== null && chance.withProbability(0.75) ? leader : running.at(0);
    if (!victim) return;
    const isCrash = chance.withProbability(0.5);
    this.countFault(isCrash ? 'controller killed' : 'controller stopped');
    if (isCrash) await victim.end('SIGKILL');
    else victim.setStopped(true);
    await sleep((isCrash ? DOWN_S : STOPPED_S) * 1000);
    if (isCrash) victim.start();
    else victim.setStopped(false);
  }

  private countFault(kind: string): void {
    this.counts[kind] = (this.counts[kind] ?? 0) + 1;
  }
}
