/** The list of machines as the cloud shows it, which is out of date. */
import type { ListedMachine, Runtime } from '#wire';
import type { ProvisionedMachine } from './provisioned-machine.js';

/** How long a machine that has died is still listed as running, in seconds. */
const FAILURE_DETECTION_S = 30;
/** Share of lists that lag by more than the nominal time, up to twice as much. */
const EXTRA_LAG_SHARE = 0.25;

/** The cloud's list as its users see it: late, and at times older than the one before. */
export class MachineList {
  constructor(
    private readonly runtime: Runtime,
    private readonly lagS: number,
  ) {}

  /** A page of those machines, which come in the order of their names. */
  page(
    machines: Iterable<ProvisionedMachine>,
    after: string | null,
    limit: number,
  ): { machines: ListedMachine[]; more: boolean } {
    const asOf = this.runtime.clock.now() - this.drawLagS();
    const page: ListedMachine[] = [];
    for (const machine of machines) {
      if (after !== null && machine.name <= after) continue;
      if (!this.isListed(machine, asOf)) continue;
      if (page.length === limit) return { machines: page, more: true };
      machine.everListed = true;
      page.push(toListedMachine(machine, asOf));
    }
    return { machines: page, more: false };
  }

  /** The machine is in no list any more. */
  isGoneFromLists(machine: ProvisionedMachine): boolean {
    return (
      machine.removedAt !== null && machine.removedAt < this.runtime.clock.now() - 2 * this.lagS
    );
  }

  private isListed(machine: ProvisionedMachine, asOf: number): boolean {
    if (machine.removedAt !== null && machine.removedAt <= asOf) return false;
    return machine.everListed || machine.provisionedAt <= asOf;
  }

  private drawLagS(): number {
    const late = this.runtime.random() < EXTRA_LAG_SHARE;
    return this.lagS * (late ? 1 + this.runtime.random() : 1);
  }
}

function toListedMachine(machine: ProvisionedMachine, asOf: number): ListedMachine {
  return {
    name: machine.name,
    addr: `${machine.address.host}:${machine.address.port}`,
    type: machine.type.name,
    zone: machine.zone,
    spot: machine.spot,
    state: stateAt(machine, asOf),
    ageS: Math.max(0, asOf - machine.provisionedAt),
  };
}

function stateAt(machine: ProvisionedMachine, time: number): ListedMachine['state'] {
  if (machine.failedAt !== null && machine.failedAt + FAILURE_DETECTION_S <= time) return 'failed';
  return machine.upAt !== null && machine.upAt <= time ? 'running' : 'booting';
}
