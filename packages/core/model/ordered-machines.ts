import type { Machine } from './model.js';

/** Machines in the order in which they became known. */
export class OrderedMachines {
  private readonly list: Machine[] = [];

  get machines(): readonly Machine[] {
    return this.list;
  }

  setMember(machine: Machine, isMember: boolean): void {
    const index = this.placeOf(machine);
    const isListed = this.list[index] === machine;
    if (isMember && !isListed) this.list.splice(index, 0, machine);
    else if (!isMember && isListed) this.list.splice(index, 1);
  }

  /** Where the machine is or belongs. */
  private placeOf({ number }: Machine): number {
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
