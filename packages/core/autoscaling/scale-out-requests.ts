/** Requests to scale out, and the kinds of machine that the cloud has refused. */
import type { MachineKind } from '../placement/task-requirements.js';

/** A request for a number of machines of one kind. */
export interface ScaleOutRequest {
  /** Name of the machine type. */
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Kinds of machine that the cloud could not provide, with the time until which they are not requested again. */
export class ScaleOutRefusals {
  private readonly until = new Map<string, number>();

  /** Records that the cloud provided fewer machines than requested; `until` is in seconds of the monotonic clock. */
  record({ type, zone, spot }: ScaleOutRequest, until: number): void {
    this.until.set(kindKey(type, zone, spot), until);
  }

  /** Whether the cloud refused the kind so recently that machines of this kind are not requested yet. */
  isRefused({ type, zone, spot }: MachineKind, now: number): boolean {
    return (this.until.get(kindKey(type.name, zone, spot)) ?? 0) > now;
  }
}

/** Key that is equal for machines of the same type and zone that are either all spot or all on-demand. */
export function kindKey(type: string, zone: string, spot: boolean): string {
  return `${type} ${zone} ${String(spot)}`;
}
