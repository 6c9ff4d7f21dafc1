/** Availability: whether a machine accepts new tasks, regardless of what these tasks require. */
import { MAX_ENTRY_BYTES } from '../model/machine-record-size.js';
import type { Machine } from '../model/entities.js';

/** Whether the machine is drained, or the cloud has given notice that it will reclaim it. */
export function isLeaving({ draining, reclaimAt }: Machine): boolean {
  return draining || reclaimAt !== null;
}

/**
 * Whether the machine is up and not leaving, the cloud does not list it as failed, and its record has space
 * for another task.
 */
export function canTakeTasks(machine: Machine, machineRecordBytes: number): boolean {
  return (
    machine.state === 'up' &&
    !isLeaving(machine) &&
    !machine.failedInList &&
    machine.recordBytes + MAX_ENTRY_BYTES <= machineRecordBytes
  );
}

/** Whether the machine is cordoned or quarantined at `now`: it is up but accepts no new tasks for a while. */
export function isCordoned({ cordonedUntil, failures }: Machine, now: number): boolean {
  return cordonedUntil > now || failures.quarantinedUntil > now;
}

/** Whether new tasks may be placed on the machine at `now` (seconds of the monotonic clock). */
export function isUsable(machine: Machine, machineRecordBytes: number, now: number): boolean {
  return !isCordoned(machine, now) && canTakeTasks(machine, machineRecordBytes);
}

/** Whether a machine is reserved for a gang other than the job `jobId`; a null `jobId` stands for no job. */
export function isReservedForOther(reservedForGang: string | null, jobId: string | null): boolean {
  return reservedForGang !== null && reservedForGang !== jobId;
}
