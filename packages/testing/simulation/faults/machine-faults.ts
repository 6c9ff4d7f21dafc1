/** Begins and ends faults of machines and of whole zones. */
import type { SeededRandom } from '../../random.js';
import type { CloudService } from '../../stand-ins/index.js';
import type { Machines, SimulatedMachine } from '../machines.js';
import type { SimulatedNetwork } from '../network.js';
import type { MachineFault } from '../scenario.js';
import { makeEffect, type FaultEffect } from './effect.js';
import { cutFrom, cutZone, dropInbound, cutOutbound } from './link-faults.js';
import { OverlapCounter } from './overlap-counter.js';
import { targetMachines } from './targets.js';

/** Faults of machines and zones. */
export class MachineFaults {
  private readonly hangs = new OverlapCounter<string>();

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly machines: Machines,
    private readonly cloud: CloudService,
    private readonly chance: SeededRandom,
    /** Returns the machines of the replica that faults with the target `ofReplica` hit. */
    private readonly replicaMachines: () => string[],
  ) {}

  begin(fault: MachineFault): FaultEffect {
    if (fault.kind === 'zone-cut') return this.cutZone(fault.zone, fault.mode);
    const machines = this.targets(fault);
    const hosts = machines.map((machine) => machine.host);
    const hit = machines.map((machine) => machine.name);
    switch (fault.kind) {
      case 'machine-death':
        for (const name of hit) this.cloud.kill(name);
        return makeEffect({ machines: hit });
      case 'machine-taken':
        for (const name of hit) this.cloud.reclaim(name, fault.noticeS);
        return makeEffect({ machines: hit });
      case 'machine-hang':
        return makeEffect({ machines: hit, end: this.hang(machines) });
      case 'machine-cut':
        return makeEffect({
          machines: hit,
          end: cutFrom(this.network, hosts, ['controllers'], fault.mode),
        });
      case 'machine-deaf':
        return makeEffect({ machines: hit, end: dropInbound(this.network, hosts) });
      case 'machine-mute':
        return makeEffect({ machines: hit, end: cutOutbound(this.network, hosts, fault.mode) });
    }
  }

  private targets(fault: Exclude<MachineFault, { kind: 'zone-cut' }>): SimulatedMachine[] {
    const candidates = this.candidates(fault);
    const { machines } = fault;
    if (!('ofReplica' in machines)) return targetMachines(candidates, machines, this.chance);
    const names = this.replicaMachines();
    return candidates.filter(({ name }) => names.includes(name)).slice(0, machines.ofReplica);
  }

  /** Makes machines hang; the returned function resumes them. */
  hang(machines: SimulatedMachine[]): () => void {
    const ends = machines.map(({ name, worker }) =>
      this.hangs.begin(
        name,
        () => {
          worker.hang();
        },
        () => {
          worker.resume();
        },
      ),
    );
    return () => {
      ends.forEach((end) => {
        end();
      });
    };
  }

  private cutZone(zone: string, mode: (MachineFault & { kind: 'zone-cut' })['mode']): FaultEffect {
    const inZone = this.network.allHosts().filter((host) => host.zone === zone);
    const controllers = inZone.filter((host) => host.role === 'controller');
    const machines = inZone.filter((host) => host.role === 'worker' && host.powered);
    return makeEffect({
      controllers: controllers.map((host) => host.name),
      machines: machines.map((host) => host.name),
      end: cutZone(this.network, zone, mode),
    });
  }

  private candidates(fault: MachineFault): SimulatedMachine[] {
    const running = this.machines.running();
    return fault.kind === 'machine-taken' ? running.filter((machine) => machine.spot) : running;
  }
}
