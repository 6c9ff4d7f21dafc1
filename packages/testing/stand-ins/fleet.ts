/** The workers of a simulation or test, one on each machine that is up. */
import type { HostPort, Runtime } from '#wire';
import type { MachineHosting, ProvisionedMachine } from './cloud/index.js';
import { uniform, type Span } from './distributions.js';
import { Worker, type MachineTraits, type WorkerEnvironment } from './worker/index.js';

/** The host of one machine, on which its worker runs. */
export interface MachineHost {
  runtime: Runtime;
  /** Takes the host down. Messages to and from the host are lost without an error. */
  powerOff(): void;
}

/** Where workers run, and what share of the machines is faulty or slow. */
export interface FleetOptions {
  workerEnvironment: WorkerEnvironment;
  /** Address on which the worker of the machine will listen; machine numbers start at 1. */
  addressOf(machineNumber: number): HostPort;
  hostFor(machine: ProvisionedMachine): MachineHost;
  /** Share of machines on which tasks fail. */
  faultyShare?: number;
  /** Share of machines that are much slower than others of their type. */
  slowShare?: number;
}

const NORMAL_SPEED: Span = [0.9, 1.1];
const SLOW_SPEED: Span = [0.2, 0.5];
/** Actual image fetch rate of a machine as a multiple of its type's nominal rate. */
const FETCH_RATE: Span = [2 / 3, 4 / 3];
const TASK_FAILURE_DELAY_S: Span = [0.5, 15];

/** Starts a worker on each machine that the cloud starts, and stops the worker with the machine. */
export class Fleet implements MachineHosting {
  private readonly machines = new Map<string, { worker: Worker; host: MachineHost }>();

  constructor(private readonly options: FleetOptions) {}

  /** Returns the workers on machines that are up. */
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
    const healthy = traits.tasksFailAfterS === null && traits.speed >= NORMAL_SPEED[0];
    const facts = { name, healthy, address, type, zone, spot };
    const worker = new Worker(host.runtime, facts, traits, this.options.workerEnvironment);
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
