/** The machines of the cloud, from their provisioning until they are gone. */
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
/** A notice runs from half to one and a half times as long as it says. */
const NOTICE_SPREAD: Span = [0.5, 1.5];

/** Boots machines, and takes them back on request, on a reclaim notice or when they fail. */
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

  /** All machines that are or were provisioned, in the order of their names. */
  all(): ProvisionedMachine[] {
    return [...this.machines.values()];
  }

  get(name: string): ProvisionedMachine | undefined {
    return this.machines.get(name);
  }

  /** Provisions up to so many machines. */
  provision(request: MachineRequest): ProvisionedMachine[] {
    const kept = this.all().filter((machine) => machine.removedAt === null);
    const kinds = kept.map(({ type, zone, spot }) => ({ type: type.name, zone, spot }));
    const left = this.capacity.remaining({ ...request, type: request.type.name }, kinds);
    const provisioned: ProvisionedMachine[] = [];
    while (provisioned.length < Math.min(request.count, left))
      provisioned.push(this.provisionOne(request));
    return provisioned;
  }

  /** Deletes the machine or takes it back; all on it is gone at once. */
  remove(machine: ProvisionedMachine): void {
    if (machine.removedAt !== null) return;
    const ran = isRunning(machine);
    machine.removedAt = this.runtime.clock.now();
    if (ran) this.hosting.powerOff(machine);
  }

  /** The machine stops by itself. */
  fail(machine: ProvisionedMachine): void {
    if (!isRunning(machine)) return;
    machine.failedAt = this.runtime.clock.now();
    this.hosting.powerOff(machine);
  }

  /** Takes the machine back after a notice of about so many seconds. */
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

  /** Drops what no list shows any more. */
  prune(isForgotten: (machine: ProvisionedMachine) => boolean): void {
    for (const machine of this.machines.values()) {
      if (isForgotten(machine)) this.machines.delete(machine.name);
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
