/** One machine of the cloud, and what hosts it. */
import type { HostPort, MachineType } from '#wire';

/** A machine from its provisioning on, with the times (of the cloud's clock) at which things happened. */
export interface ProvisionedMachine {
  readonly name: string;
  readonly address: HostPort;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly provisionedAt: number;
  upAt: number | null;
  /** It stopped by itself; it stays listed until it is deleted. */
  failedAt: number | null;
  /** It was deleted or taken back. */
  removedAt: number | null;
  /** It has been in a list, and stays in all lists until it is gone. */
  everListed: boolean;
  noticeGiven: boolean;
}

/** Where provisioned machines run: told by the cloud when each comes up and goes. */
export interface MachineHosting {
  /** Where the worker of the machine with this number, counted from 1, will serve. */
  addressOf(machineNumber: number): HostPort;
  /** The machine is up and its worker begins. */
  powerOn(machine: ProvisionedMachine): void;
  /** The machine and everything on it are gone, without a word. */
  powerOff(machine: ProvisionedMachine): void;
  /** The cloud will take the machine in about so many seconds. */
  giveNotice(machine: ProvisionedMachine, noticeS: number): void;
}

/** Up, and neither dead nor gone. */
export function isRunning(machine: ProvisionedMachine): boolean {
  return machine.upAt !== null && machine.failedAt === null && machine.removedAt === null;
}
