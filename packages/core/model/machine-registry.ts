/** The machines of a shard and the machine types of the cloud. */
import type { MachineType } from '#wire';
import { addAmounts, type Amounts, ZERO_AMOUNTS } from './amounts.js';
import { FreeMachines } from './free-machines.js';
import { MachineGroups } from './machine-groups.js';
import type { Machine } from './entities.js';
import type { MachineFacts } from './machine-facts.js';
import { newMachine } from './new-machine.js';

/**
 * A machine whose read-only fields may be set. The registry's methods take it where they do so, since each of these
 * fields decides on groups that the registry keeps; callers pass any `Machine`.
 */
type MutableMachine = { -readonly [Field in keyof Machine]: Machine[Field] };

/** The known machines and machine types. Times are seconds of the steady clock. */
export class MachineRegistry {
  /** Machines with a property that few have. */
  readonly groups = new MachineGroups();
  /** Machines with free capacity. */
  readonly free = new FreeMachines();
  /** Totals of all machines, as of the last `updateTotals`. */
  totals: Readonly<Amounts> = ZERO_AMOUNTS;
  /** Machines or sizes have changed since then. */
  private totalsAreStale = false;
  /** Seconds that the type which is up soonest takes to boot; 0 while no type is known. */
  shortestBootS = 0;
  private readonly typesByName = new Map<string, MachineType>();
  private readonly byName = new Map<string, Machine>();
  private registeredCount = 0;
  /** Null after machines have come or gone. */
  private cachedZones: readonly string[] | null = null;

  /** `fencingToken` is what answers to a new machine carry: the leader's term. */
  constructor(private readonly fencingToken: number) {}

  /** How many machines are known. */
  get size(): number {
    return this.byName.size;
  }

  /** The machine, or undefined if it is not known or gone. */
  get(name: string): Machine | undefined {
    return this.byName.get(name);
  }

  /** Whether the machine is known. */
  has(name: string): boolean {
    return this.byName.has(name);
  }

  /** All known machines, in the order in which they became known. */
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
    this.totalsAreStale = true;
    this.shortestBootS = Math.min(...[...this.typesByName.values()].map(({ bootS }) => bootS));
    for (const machine of this.byName.values()) {
      if (machine.type === type.name) this.free.update(machine, type);
    }
  }

  /** Type of the machine, or undefined while the cloud's list of types is not known. */
  typeOf(machine: Machine): MachineType | undefined {
    return this.typesByName.get(machine.type);
  }

  /** A machine that the cloud, a record or its own heartbeat made known; unchanged if known already. */
  register(facts: MachineFacts, state: Machine['state'], requestedAt: number): Machine {
    const known = this.byName.get(facts.name);
    if (known) return known;
    const number = ++this.registeredCount;
    const machine = newMachine({
      facts,
      number,
      state,
      requestedAt,
      fencingToken: this.fencingToken,
    });
    this.byName.set(facts.name, machine);
    this.invalidateTotalsAndZones();
    this.groups.add(machine);
    this.free.update(machine, this.typeOf(machine));
    return machine;
  }

  /** The machine is gone from the cloud. */
  remove(machine: Machine): void {
    this.byName.delete(machine.name);
    this.invalidateTotalsAndZones();
    this.groups.remove(machine);
    this.free.remove(machine);
  }

  private invalidateTotalsAndZones(): void {
    this.totalsAreStale = true;
    this.cachedZones = null;
  }

  /** Zones of all machines, in the order in which they became known. */
  get zones(): readonly string[] {
    this.cachedZones ??= [...new Set([...this.byName.values()].map(({ zone }) => zone))];
    return this.cachedZones;
  }

  /** The first heartbeat of its worker came, or the first after its lease expired; or its lease has expired. */
  setState(machine: MutableMachine, state: 'up' | 'expired'): void {
    machine.state = state;
    if (!this.isKnown(machine)) return;
    this.groups.stateChanged(machine);
    this.free.update(machine, this.typeOf(machine));
  }

  /** The machine takes no new work and is deprovisioned once it is empty. */
  drain(machine: MutableMachine): void {
    machine.draining = true;
    if (this.isKnown(machine)) this.groups.stateChanged(machine);
  }

  /** The cloud lists the machine as failed. */
  markFailed(machine: MutableMachine): void {
    machine.failedInList = true;
    if (this.isKnown(machine)) this.groups.stateChanged(machine);
  }

  /** When the cloud reclaims the machine, or null if it gives no notice. */
  setReclaimAt(machine: MutableMachine, reclaimAt: number | null): void {
    if (reclaimAt === machine.reclaimAt) return;
    machine.reclaimAt = reclaimAt;
    if (this.isKnown(machine)) this.groups.reclaimChanged(machine);
  }

  /** Keeps the machine free for the gang of that id, or for none. */
  reserve(machine: MutableMachine, gang: string | null): void {
    if (gang === machine.reservedForGang) return;
    machine.reservedForGang = gang;
    if (this.isKnown(machine)) this.groups.reservationChanged(machine);
  }

  /** A task on the machine is to stop (1), or such a task has gone (-1). */
  countStop(machine: MutableMachine, sign: 1 | -1): void {
    machine.stoppingTasks += sign;
    if (this.isKnown(machine)) this.groups.stopsChanged(machine);
  }

  /** A replica is to stay on the machine (1), or no longer is (-1). */
  countReplica(machine: MutableMachine, sign: 1 | -1): void {
    machine.stayingReplicas += sign;
    if (this.isKnown(machine)) this.groups.replicasChanged(machine);
  }

  /** What the machine's tasks take of it has changed. */
  useChanged(machine: Machine): void {
    if (this.isKnown(machine)) this.free.update(machine, this.typeOf(machine));
  }

  /** Whether the machine is still known: callers may hold one that is gone, and that belongs to no group. */
  private isKnown(machine: Machine): boolean {
    return this.byName.get(machine.name) === machine;
  }

  /** Sums up what all machines have if that may have changed; called before a round, and after the cloud's list. */
  updateTotals(): void {
    if (!this.totalsAreStale) return;
    this.totalsAreStale = false;
    const totals = { ...ZERO_AMOUNTS };
    for (const machine of this.byName.values()) {
      const type = this.typeOf(machine);
      if (type) addAmounts(totals, type, 1);
    }
    this.totals = totals;
  }
}
