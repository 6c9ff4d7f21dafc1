/** The list of machines as the cloud reports it, which lags behind the real state. */
import type { ListedMachine, Runtime } from '#wire';
import type { ProvisionedMachine } from './provisioned-machine.js';

/** Seconds for which a failed machine is still listed as running. */
const FAILURE_DETECTION_S = 30;
/** Share of lists that lag by more than the nominal time, at most twice as much. */
const EXTRA_LAG_SHARE = 0.25;

/** The list that clients of the cloud receive. It lags, and may be older than the list before it. */
export class MachineList {
  constructor(
    private readonly runtime: Runtime,
    private readonly lagS: number,
  ) {}

  /** Returns a page of the machines, which must be sorted by name. */
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

  /** Whether no list can show the machine any more. */
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
