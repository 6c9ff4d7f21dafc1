/** Requests to scale out, and the kinds of machine that the cloud has refused. */
import type { MachineKind } from '../placement/task-requirements.js';

/** Machines to provision, all of one kind. */
export interface ScaleOutRequest {
  /** Name of the machine type. */
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Kinds of machine that the cloud could not provide, and until when they are not requested again. */
export class ScaleOutRefusals {
  private readonly until = new Map<string, number>();

  /** Records that the cloud provided fewer machines than requested; `until` is on the steady clock. */
  record({ type, zone, spot }: ScaleOutRequest, until: number): void {
    this.until.set(kindKey(type, zone, spot), until);
  }

  /** Whether the kind was refused so recently that it is not requested. */
  isRefused({ type, zone, spot }: MachineKind, now: number): boolean {
    return (this.until.get(kindKey(type.name, zone, spot)) ?? 0) > now;
  }
}

/** Equal for machines of the same type, zone and kind. */
export function kindKey(type: string, zone: string, spot: boolean): string {
  return `${type} ${zone} ${String(spot)}`;
}
