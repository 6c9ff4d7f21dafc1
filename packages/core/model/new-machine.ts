/** How a machine enters the state. */
import { noMachineFailures } from '../failures/machine-failures.js';
import type { MachineFacts } from './machine-facts.js';
import { emptyRecordBytes } from './machine-record-size.js';
import { noMachineUsage } from './machine-usage.js';
import type { Machine } from './model.js';
import { newWorkerState } from './worker-state.js';

/** Where a new machine comes in the registry, and what answers to it carry. */
interface NewMachine {
  facts: MachineFacts;
  number: number;
  state: Machine['state'];
  /** Seconds of the steady clock. */
  requestedAt: number;
  fencingToken: number;
}

/** A machine without tasks from which no heartbeat has come. */
export function newMachine(options: NewMachine): Machine {
  const { facts, number, state, requestedAt, fencingToken } = options;
  const { name, addr, type, zone, spot } = facts;
  return {
    ...{ name, addr, type, zone, spot },
    ...newWorkerState(fencingToken),
    ...noMachineUsage(emptyRecordBytes(facts), requestedAt),
    number,
    state,
    requestedAt,
    expiredAt: 0,
    reclaimAt: null,
    failedInList: false,
    draining: false,
    cordonedUntil: 0,
    failures: noMachineFailures(),
    reservedForGang: null,
    capacityHold: null,
    tasks: new Map(),
    images: new Map(),
  };
}
