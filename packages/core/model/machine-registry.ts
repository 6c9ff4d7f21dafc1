import type { MachineType } from '#wire';
import { addAmounts, Amounts, ZERO_AMOUNTS } from './amounts.js';
import { FreeMachines } from './free-machines.js';
import { MachineGroups } from './machine-groups.js';
import type { Machine } from './model.js';
import type { MachineFacts } from './machine-facts.js';
import { newMachine } from './new-machine.js';

/** A machine as the registry may change it. */
type Writable = { -readonly [Field in keyof Machine]: Machine[Field] };

/** The known machines and machine types. */
export class MachineRegistry {
  /** Machines that something sets apart. */
  readonly groups = new MachineGroups();
  /** Machines with room. */
  readonly free = new FreeMachines();
  /** Totals of all machines, as of the last `updateTotals`. */
  totals: Readonly<Amounts> = ZERO_AMOUNTS;
  /** Machines or sizes have changed since then. */
  private totalsAreOld = false;
  /** Seconds that the type which is up soonest takes to boot; 0 while no type is known. */
  shortestBootS = 0;
  private readonly typesByName = new Map<string, MachineType>();
  private readonly byName = new Map<string, Machine>();
  private registered = 0;
  /** Null after machines have come or gone. */
  private zonesInOrder: readonly string[] | null = null;

  /** `token` is what answers to a new machine carry: the owner's term. */
  constructor(private readonly fencingToken: number) {}

  get size(): number {
    return this.byName.size;
  }

  get(name: string): Machine | undefined {
    return this.byName.get(name);
  }

  has(name: string): boolean {
    return this.byName.has(name);
  }

  values(): IterableIterator<Machine> {
    return this.byName.values();
  }

  /** Machine types by name, as the cloud last listed them. */
  get types(): ReadonlyMap<string, MachineType> {
    return this.typesByName;
  }

  /** The cloud lists a type. */
  setType(type: MachineType): void {
    this.typesByName.set(type.name, type);
    this.totalsAreOld = true;
    this.shortestBootS = Math.min(...[...this.typesByName.values()].map(({ bootS }) => bootS));
    for (const machine of this.byName.values()) {
      if (machine.type === type.name) this.free.update(machine, type);
    }
  }

  /** Type of the machine, or undefined while the cloud's list of types is not known. */
  typeOf(machine: Machine): MachineType | undefined {
    return this.typesByName.get(machine.type);
  }

  /** A machine that the cloud, a record or its own report made known; unchanged if known already. */
  register(facts: MachineFacts, state: Machine['state'], requestedAt: number): Machine {
    const known = this.byName.get(facts.name);
    if (known) return known;
    const number = ++this.registered;
    const machine = newMachine({
      facts,
      number,
      state,
      requestedAt,
      fencingToken: this.fencingToken,
    });
    this.byName.set(facts.name, machine);
    this.membersChanged();
    this.groups.add(machine);
    this.free.update(machine, this.typeOf(machine));
    return machine;
  }

  /** The machine is gone from the cloud. */
  remove(machine: Machine): void {
    this.byName.delete(machine.name);
    this.membersChanged();
    this.groups.remove(machine);
    this.free.remove(machine);
  }

  private membersChanged(): void {
    this.totalsAreOld = true;
    this.zonesInOrder = null;
  }

  /** Zones of all machines, in the order in which they became known. */
  get zones(): readonly string[] {
    this.zonesInOrder ??= [...new Set([...this.byName.values()].map(({ zone }) => zone))];
    return this.zonesInOrder;
  }

  /** Its worker was heard for the first time or again, or has been silent past its lease. */
  setState(machine: Machine, state: 'up' | 'expired'): void {
    writable(machine).state = state;
    if (!this.isKnown(machine)) return;
    this.groups.stateChanged(machine);
    this.free.update(machine, this.typeOf(machine));
  }

  /** It takes no new work and is given back once it is empty. */
  drain(machine: Machine): void {
    writable(machine).draining = true;
    if (this.isKnown(machine)) this.groups.stateChanged(machine);
  }

  /** The cloud lists it as failed. */
  markFailed(machine: Machine): void {
    writable(machine).failedInList = true;
    if (this.isKnown(machine)) this.groups.stateChanged(machine);
  }

  /** When the cloud takes it away, or null if it gives no notice. */
  setReclaimAt(machine: Machine, reclaimAt: number | null): void {
    if (reclaimAt === machine.reclaimAt) return;
    writable(machine).reclaimAt = reclaimAt;
    if (this.isKnown(machine)) this.groups.reclaimChanged(machine);
  }

  /** Keeps it free for the gang of that id, or for none. */
  reserve(machine: Machine, gang: string | null): void {
    if (gang === machine.reservedForGang) return;
    writable(machine).reservedForGang = gang;
    if (this.isKnown(machine)) this.groups.reservationChanged(machine);
  }

  /** The end of a task on it was asked for (1), or such a task has gone (-1). */
  countStop(machine: Machine, sign: 1 | -1): void {
    writable(machine).stoppingTasks += sign;
    if (this.isKnown(machine)) this.groups.stopsChanged(machine);
  }

  /** A replica is to stay on it (1), or no longer is (-1). */
  countReplica(machine: Machine, sign: 1 | -1): void {
    writable(machine).stayingReplicas += sign;
    if (this.isKnown(machine)) this.groups.replicasChanged(machine);
  }

  /** What its tasks take has changed. */
  useChanged(machine: Machine): void {
    if (this.isKnown(machine)) this.free.update(machine, this.typeOf(machine));
  }

  /** Others that still hold a machine may name one that is gone. */
  private isKnown(machine: Machine): boolean {
    return this.byName.get(machine.name) === machine;
  }

  /** Sums up what all machines have; before a round, and after the list of machines. */
  updateTotals(): void {
    if (!this.totalsAreOld) return;
    this.totalsAreOld = false;
    const totals = { ...ZERO_AMOUNTS };
    for (const machine of this.byName.values()) {
      const type = this.typeOf(machine);
      if (type) addAmounts(totals, type, 1);
    }
    this.totals = totals;
  }
}

function writable(machine: Machine): Writable {
  return machine;
}
