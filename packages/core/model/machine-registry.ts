/** The machines of a shard and the machine types of the cloud. */
import type { MachineType } from '#wire';
import { addResources, type Resources, ZERO_RESOURCES } from './resources.js';
import { FreeMachines } from './free-machines.js';
import { MachineGroups } from './machine-groups.js';
import type { Machine } from './entities.js';
import type { MachineFacts } from './machine-facts.js';
import { newMachine } from './new-machine.js';

/**
 * A machine whose read-only fields may be set. Registry methods that set such a field take this type; callers pass any
 * `Machine`. Only the registry sets these fields, since they decide which groups the machine belongs to.
 */
type MutableMachine = { -readonly [Field in keyof Machine]: Machine[Field] };

/** The known machines and machine types. Times are seconds of the monotonic clock. */
export class MachineRegistry {
  /** Groups of machines with a property that few machines have. */
  readonly groups = new MachineGroups();
  /** Machines with free capacity. */
  readonly free = new FreeMachines();
  /** Total resources of all machines, as of the last `updateTotals`. */
  totals: Readonly<Resources> = ZERO_RESOURCES;
  /** Whether machines or the sizes of machine types have changed since the last `updateTotals`. */
  private totalsAreStale = false;
  /** Boot time in seconds of the machine type that boots fastest; 0 while no type is known. */
  shortestBootS = 0;
  private readonly typesByName = new Map<string, MachineType>();
  private readonly byName = new Map<string, Machine>();
  private registeredCount = 0;
  /** Zones of all machines; null after a machine was added or removed, until they are next read. */
  private cachedZones: readonly string[] | null = null;

  /** `fencingToken` is the fencing token that answers to a new machine carry: the leader's term. */
  constructor(private readonly fencingToken: number) {}

  /** How many machines are known. */
  get size(): number {
    return this.byName.size;
  }

  /** The machine, or undefined if it is unknown or gone. */
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

  /** Adds or replaces a machine type that the cloud lists. */
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

  /** Adds a machine that the cloud, a record or its own heartbeat made known. Returns a known machine unchanged. */
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

  /** Removes a machine that is gone from the cloud. */
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

  /**
   * Sets the machine's state: `up` at its first heartbeat and at the first after its lease expired, `expired` when its
   * lease has expired.
   */
  setState(machine: MutableMachine, state: 'up' | 'expired'): void {
    machine.state = state;
    if (!this.isKnown(machine)) return;
    this.groups.stateChanged(machine);
    this.free.update(machine, this.typeOf(machine));
  }

  /** Drains the machine: it takes no new work and is deprovisioned once it is empty. */
  drain(machine: MutableMachine): void {
    machine.draining = true;
    if (this.isKnown(machine)) this.groups.stateChanged(machine);
  }

  /** Notes that the cloud lists the machine as failed. */
  markFailed(machine: MutableMachine): void {
    machine.failedInList = true;
    if (this.isKnown(machine)) this.groups.stateChanged(machine);
  }

  /** Sets when the cloud reclaims the machine; null if there is no reclaim notice. */
  setReclaimAt(machine: MutableMachine, reclaimAt: number | null): void {
    if (reclaimAt === machine.reclaimAt) return;
    machine.reclaimAt = reclaimAt;
    if (this.isKnown(machine)) this.groups.reclaimChanged(machine);
  }

  /** Reserves the machine for the gang with that id; null ends the reservation. */
  reserve(machine: MutableMachine, gang: string | null): void {
    if (gang === machine.reservedForGang) return;
    machine.reservedForGang = gang;
    if (this.isKnown(machine)) this.groups.reservationChanged(machine);
  }

  /** Counts a task on the machine that was asked to stop (1), or the end of such a task (-1). */
  adjustStoppingTasks(machine: MutableMachine, sign: 1 | -1): void {
    machine.stoppingTasks += sign;
    if (this.isKnown(machine)) this.groups.stopsChanged(machine);
  }

  /** Counts a replica that is to stay on the machine (1), or one that is no longer to stay (-1). */
  adjustStayingReplicas(machine: MutableMachine, sign: 1 | -1): void {
    machine.stayingReplicas += sign;
    if (this.isKnown(machine)) this.groups.replicasChanged(machine);
  }

  /** Updates the lists of free machines after the resources that the machine's tasks use changed. */
  usageChanged(machine: Machine): void {
    if (this.isKnown(machine)) this.free.update(machine, this.typeOf(machine));
  }

  /** Whether the machine is still known. Callers may pass a machine that is gone, which belongs to no group. */
  private isKnown(machine: Machine): boolean {
    return this.byName.get(machine.name) === machine;
  }

  /** Recomputes `totals` if they may have changed. Called before a scheduling round and after the cloud's list is read. */
  updateTotals(): void {
    if (!this.totalsAreStale) return;
    this.totalsAreStale = false;
    const totals = { ...ZERO_RESOURCES };
    for (const machine of this.byName.values()) {
      const type = this.typeOf(machine);
      if (type) addResources(totals, type, 1);
    }
    this.totals = totals;
  }
}
