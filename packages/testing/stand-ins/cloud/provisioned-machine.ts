/** A machine of the cloud and the interface of its host. */
import type { HostPort, MachineType } from '#wire';

/** A machine that was provisioned. Times are seconds of the cloud's clock, or null before the event. */
export interface ProvisionedMachine {
  readonly name: string;
  readonly address: HostPort;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly provisionedAt: number;
  upAt: number | null;
  /** When the machine failed. A failed machine stays listed until it is released. */
  failedAt: number | null;
  /** When the machine was released or reclaimed. */
  removedAt: number | null;
  /** Whether a list has shown the machine. Later lists then show it until it is removed. */
  everListed: boolean;
  /** Whether a reclaim notice was given. */
  noticeGiven: boolean;
}

/** Runs the workers of provisioned machines. The cloud calls it when a machine starts and stops. */
export interface MachineHosting {
  /** Address of the worker on the machine with this number, counted from 1. */
  addressOf(machineNumber: number): HostPort;
  /** The machine is up and its worker starts. */
  powerOn(machine: ProvisionedMachine): void;
  /** The machine and everything on it stop without notice. */
  powerOff(machine: ProvisionedMachine): void;
  /** The cloud will reclaim the machine in about `noticeS` seconds. */
  giveNotice(machine: ProvisionedMachine, noticeS: number): void;
}

/** Whether the machine is up, and neither failed nor removed. */
export function isRunning(machine: ProvisionedMachine): boolean {
  return machine.upAt !== null && machine.failedAt === null && machine.removedAt === null;
}
