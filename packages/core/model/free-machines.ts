/** Finds machines with free capacity without a walk over all machines. */
import type { MachineType } from '#wire';
import { type Resources, ROUNDING_TOLERANCE } from './resources.js';
import type { Machine } from './entities.js';
import { OrderedMachines } from './ordered-machines.js';

/** A need above this certainly exceeds the rounding error of the free capacity. */
const SIGNIFICANT_NEED = 3 * ROUNDING_TOLERANCE;

/**
 * Lists of the machines that are up, and of those with free CPUs or GPUs, updated when tasks are added or removed. In a
 * well-used fleet nearly all machines are full, so few have to be checked for a task.
 */
export class FreeMachines {
  private readonly up = new OrderedMachines();
  private readonly withCpus = new OrderedMachines();
  private readonly withGpus = new OrderedMachines();

  /** Updates the lists. To be called when the machine's state, its tasks or the size of its type has changed. */
  update(machine: Machine, type: MachineType | undefined): void {
    const isUp = machine.state === 'up' && type !== undefined;
    this.up.setMember(machine, isUp);
    this.withCpus.setMember(machine, isUp && type.cpus - machine.used.cpus > ROUNDING_TOLERANCE);
    this.withGpus.setMember(machine, isUp && type.gpus - machine.used.gpus > ROUNDING_TOLERANCE);
  }

  /** Removes a machine that is gone. */
  remove(machine: Machine): void {
    for (const list of [this.up, this.withCpus, this.withGpus]) list.setMember(machine, false);
  }

  /** All machines that may have capacity for such a task, in the order in which they became known. */
  candidatesFor({ cpus, gpus }: Pick<Resources, 'cpus' | 'gpus'>): readonly Machine[] {
    if (gpus > SIGNIFICANT_NEED) return this.withGpus.machines;
    if (cpus > SIGNIFICANT_NEED) return this.withCpus.machines;
    return this.up.machines;
  }
}
