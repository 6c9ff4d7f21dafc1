/** The machines of the cloud, from provisioning to removal. */
import type { MachineType, Runtime } from '#wire';
import { uniform, type Span } from '../distributions.js';
import { USUAL_BOOTS, drawBootS } from './boot-times.js';
import { Capacity, type CapacityLimit } from './capacity.js';
import { isRunning, type MachineHosting, type ProvisionedMachine } from './provisioned-machine.js';

/** A request for machines of one kind. */
export interface MachineRequest {
  type: MachineType;
  zone: string;
  spot: boolean;
  count: number;
}

const NAME_DIGITS = 6;
/** Actual time from a reclaim notice to the removal, as a multiple of the announced time. */
const NOTICE_SPREAD: Span = [0.5, 1.5];

/** Provisions and boots machines, and removes, reclaims or fails them. */
export class MachinePool {
  bootProfile = USUAL_BOOTS;
  readonly capacity: Capacity;
  private readonly machines = new Map<string, ProvisionedMachine>();
  private provisionedCount = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly hosting: MachineHosting,
    limits: CapacityLimit[],
  ) {
    this.capacity = new Capacity(limits);
  }

  /** All machines that were provisioned and not pruned, sorted by name. */
  all(): ProvisionedMachine[] {
    return [...this.machines.values()];
  }

  get(name: string): ProvisionedMachine | undefined {
    return this.machines.get(name);
  }

  /** Provisions the requested number of machines, or as many as the capacity allows. */
  provision(request: MachineRequest): ProvisionedMachine[] {
    const kept = this.all().filter((machine) => machine.removedAt === null);
    const kinds = kept.map(({ type, zone, spot }) => ({ type: type.name, zone, spot }));
    const left = this.capacity.remaining({ ...request, type: request.type.name }, kinds);
    const provisioned: ProvisionedMachine[] = [];
    while (provisioned.length < Math.min(request.count, left))
      provisioned.push(this.provisionOne(request));
    return provisioned;
  }

  /** Removes a machine that is released or reclaimed. Everything on it stops at once. */
  remove(machine: ProvisionedMachine): void {
    if (machine.removedAt !== null) return;
    const ran = isRunning(machine);
    machine.removedAt = this.runtime.clock.now();
    if (ran) this.hosting.powerOff(machine);
  }

  /** Lets a running machine fail. It stays listed until it is released. */
  fail(machine: ProvisionedMachine): void {
    if (!isRunning(machine)) return;
    machine.failedAt = this.runtime.clock.now();
    this.hosting.powerOff(machine);
  }

  /** Announces that the machine is reclaimed, and removes it about `noticeS` seconds later. */
  giveNotice(machine: ProvisionedMachine, noticeS: number): void {
    if (!isRunning(machine) || machine.noticeGiven) return;
    machine.noticeGiven = true;
    this.hosting.giveNotice(machine, noticeS);
    const spread = uniform(() => this.runtime.random(), NOTICE_SPREAD);
    this.runtime.clock.setTimer(
      () => {
        this.remove(machine);
      },
      noticeS * spread * 1000,
    );
  }

  /** Drops the machines that no list can show any more. */
  prune(isObsolete: (machine: ProvisionedMachine) => boolean): void {
    for (const machine of this.machines.values()) {
      if (isObsolete(machine)) this.machines.delete(machine.name);
    }
  }

  private provisionOne({ type, zone, spot }: MachineRequest): ProvisionedMachine {
    const number = ++this.provisionedCount;
    const machine: ProvisionedMachine = {
      name: `n-${String(number).padStart(NAME_DIGITS, '0')}`,
      address: this.hosting.addressOf(number),
      type,
      zone,
      spot,
      provisionedAt: this.runtime.clock.now(),
      upAt: null,
      failedAt: null,
      removedAt: null,
      everListed: false,
      noticeGiven: false,
    };
    this.machines.set(machine.name, machine);
    const bootS = drawBootS(this.runtime, this.bootProfile, type.bootS);
    if (bootS !== null)
      this.runtime.clock.setTimer(() => {
        this.boot(machine);
      }, bootS * 1000);
    return machine;
  }

  private boot(machine: ProvisionedMachine): void {
    if (machine.removedAt !== null) return;
    machine.upAt = this.runtime.clock.now();
    this.hosting.powerOn(machine);
  }
}
