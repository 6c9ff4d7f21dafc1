/** Sorted lists of machines that are cheap to update. */
import type { Machine } from './entities.js';

/** Machines in the order in which they became known. */
export class OrderedMachines {
  private readonly list: Machine[] = [];

  /** The listed machines, in the order in which they became known. */
  get machines(): readonly Machine[] {
    return this.list;
  }

  /** Adds or removes the machine; does nothing if its membership is already as requested. */
  setMember(machine: Machine, isMember: boolean): void {
    const index = this.indexOf(machine);
    const isListed = this.list[index] === machine;
    if (isMember && !isListed) this.list.splice(index, 0, machine);
    else if (!isMember && isListed) this.list.splice(index, 1);
  }

  /** Index of the machine, or the index at which it would be inserted. */
  private indexOf({ number }: Machine): number {
    let low = 0;
    let high = this.list.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.list[middle].number < number) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
