import type { MachineType } from '#wire';
import { type Amounts, ROUNDING } from './amounts.js';
import type { Machine } from './model.js';

/** A need above this is surely more than the rounding of what is free. */
const CERTAIN_NEED = 3 * ROUNDING;

/** Machines in the order in which they became known. */
class MachineList {
  readonly machines: Machine[] = [];

  setMember(machine: Machine, isMember: boolean): void {
    const index = this.placeOf(machine);
    const isListed = this.machines[index] === machine;
    if (isMember && !isListed) this.machines.splice(index, 0, machine);
    else if (!isMember && isListed) this.machines.splice(index, 1);
  }

  /** Where the machine is or belongs. */
  private placeOf({ number }: Machine): number {
    let low = 0;
    let high = this.machines.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.machines[middle].number < number) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/**
 * The machines that are up, and those of them that are not full, kept current as tasks come and go. In a
 * fleet that is well used nearly all machines are full, so that next to none has to be looked at for a task.
 */
export class FreeMachines {
  private readonly up = new MachineList();
  private readonly withCpus = new MachineList();
  private readonly withGpus = new MachineList();

  /** To be called when the machine's state, its tasks or the size of its type has changed. */
  update(machine: Machine, type: MachineType | undefined): void {
    const isUp = machine.state === 'up' && type !== undefined;
    this.up.setMember(machine, isUp);
    this.withCpus.setMember(machine, isUp && type.cpus - machine.used.cpus > ROUNDING);
    this.withGpus.setMember(machine, isUp && type.gpus - machine.used.gpus > ROUNDING);
  }

  remove(machine: Machine): void {
    for (const list of [this.up, this.withCpus, this.withGpus]) list.setMember(machine, false);
  }

  /** All machines that may have room for such a task, in the order in which they became known. */
  mayHold({ cpus, gpus }: Pick<Amounts, 'cpus' | 'gpus'>): readonly Machine[] {
    if (gpus > CERTAIN_NEED) return this.withGpus.machines;
    if (cpus > CERTAIN_NEED) return this.withCpus.machines;
    return this.up.machines;
  }
}
