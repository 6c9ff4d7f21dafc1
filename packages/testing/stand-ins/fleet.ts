/** The workers of a run, one on each machine that is up. */
import type { HostPort, Runtime } from '#wire';
import type { MachineHosting, ProvisionedMachine } from './cloud/index.js';
import { uniform, type Span } from './distributions.js';
import { Worker, type MachineTraits, type WorkerSurroundings } from './worker/index.js';

/** Where the worker of one machine runs. */
export interface MachineHost {
  runtime: Runtime;
  /** The host is gone; the network falls silent. */
  powerOff(): void;
}

/** Where workers run and how many of them are faulty or slow. */
export interface FleetOptions {
  surroundings: WorkerSurroundings;
  /** Where the worker of the machine with this number, counted from 1, will serve. */
  addressOf(machineNumber: number): HostPort;
  hostFor(machine: ProvisionedMachine): MachineHost;
  /** Share of machines on which tasks fail. */
  faultyShare?: number;
  /** Share of machines that are much slower than their type. */
  slowShare?: number;
}

const NORMAL_SPEED: Span = [0.9, 1.1];
const SLOW_SPEED: Span = [0.2, 0.5];
/** Actual rate of image fetches as a multiple of the type's. */
const FETCH_RATE: Span = [2 / 3, 4 / 3];
const TASK_FAILURE_DELAY_S: Span = [0.5, 15];

/** Starts a worker on each machine that the cloud has up, and ends it with the machine. */
export class Fleet implements MachineHosting {
  private readonly machines = new Map<string, { worker: Worker; host: MachineHost }>();

  constructor(private readonly options: FleetOptions) {}

  /** Workers on machines that are up. */
  workers(): Worker[] {
    return [...this.machines.values()].map(({ worker }) => worker);
  }

  worker(machine: string): Worker | undefined {
    return this.machines.get(machine)?.worker;
  }

  addressOf(machineNumber: number): HostPort {
    return this.options.addressOf(machineNumber);
  }

  powerOn(machine: ProvisionedMachine): void {
    const host = this.options.hostFor(machine);
    const { name, type, zone, spot } = machine;
    const address = `${machine.address.host}:${machine.address.port}`;
    const traits = this.drawTraits(host.runtime, machine);
    const sound = traits.tasksFailAfterS === null && traits.speed >= NORMAL_SPEED[0];
    const facts = { name, sound, address, type, zone, spot };
    const worker = new Worker(host.runtime, facts, traits, this.options.surroundings);
    this.machines.set(name, { worker, host });
    void worker.start();
  }

  powerOff({ name }: ProvisionedMachine): void {
    const machine = this.machines.get(name);
    if (!machine) return;
    this.machines.delete(name);
    machine.worker.powerOff();
    machine.host.powerOff();
  }

  giveNotice({ name }: ProvisionedMachine, noticeS: number): void {
    this.worker(name)?.giveNotice(noticeS);
  }

  private drawTraits(runtime: Runtime, { type }: ProvisionedMachine): MachineTraits {
    const { faultyShare = 0, slowShare = 0 } = this.options;
    const span = (range: Span) => uniform(() => runtime.random(), range);
    const slow = runtime.random() < slowShare;
    const faulty = runtime.random() < faultyShare;
    return {
      speed: span(slow ? SLOW_SPEED : NORMAL_SPEED),
      fetchGbPerS: type.fetchGbPerS * span(FETCH_RATE),
      tasksFailAfterS: faulty ? span(TASK_FAILURE_DELAY_S) : null,
    };
  }
}
