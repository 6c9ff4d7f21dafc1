import type { MachineKind } from '../placement/bin-packing.js';

/** Machines to rent, all of one kind. */
export interface ScaleOutRequest {
  /** Name of the machine type. */
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Kinds of machine that the cloud could not give, and until when they are not asked for again. */
export class Refusals {
  private readonly until = new Map<string, number>();

  /** The cloud gave fewer machines than were asked for. */
  record({ type, zone, spot }: ScaleOutRequest, until: number): void {
    this.until.set(kindKey(type, zone, spot), until);
  }

  /** Whether the kind was refused so recently that it is not asked for. */
  includes({ type, zone, spot }: MachineKind, now: number): boolean {
    return (this.until.get(kindKey(type.name, zone, spot)) ?? 0) > now;
  }
}

/** Equal for machines of the same type, zone and kind. */
export function kindKey(type: string, zone: string, spot: boolean): string {
  return `${type} ${zone} ${spot}`;
}
