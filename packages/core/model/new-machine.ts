/** Creates the state of a new machine. */
import { noMachineFailures } from '../failures/machine-failures.js';
import { ZERO_RESOURCES } from './resources.js';
import type { MachineFacts } from './machine-facts.js';
import { emptyRecordBytes } from './machine-record-size.js';
import type { Machine } from './entities.js';

/** Inputs for the state of a new machine. */
interface NewMachine {
  facts: MachineFacts;
  number: number;
  state: Machine['state'];
  /** Seconds of the monotonic clock. */
  requestedAt: number;
  fencingToken: number;
}

/**
 * Creates a machine without tasks that has sent no heartbeat. The object is one literal on purpose: if an object of this
 * size is built by spreading others, V8 keeps its fields in a dictionary once they are written, and scheduling rounds
 * and capacity plans take several times as long.
 */
// eslint-disable-next-line max-lines-per-function -- one literal, see above
export function newMachine(options: NewMachine): Machine {
  const { facts, number, state, requestedAt, fencingToken } = options;
  const { name, addr, type, zone, spot } = facts;
  return {
    name,
    number,
    addr,
    type,
    zone,
    spot,
    state,
    requestedAt,
    agentEpoch: 0,
    lastMessageSequence: -1,
    lastHeartbeatSequence: -1,
    fencingToken,
    shownFencingToken: 0,
    termConfirmed: false,
    answeredAt: -Infinity,
    answeredSince: Infinity,
    oldFencingTokenSince: null,
    fence: 'none',
    directStarts: new Map(),
    unexpectedAttempts: new Map(),
    retainedAttempts: 0,
    retainedSince: null,
    unacknowledgedStarts: new Map(),
    directCommandInFlight: false,
    noDirectCommandBefore: 0,
    expiredAt: 0,
    expiredEpoch: 0,
    reclaimAt: null,
    failedInList: false,
    draining: false,
    cordonedUntil: 0,
    failures: noMachineFailures(),
    reservedForGang: null,
    capacityHold: null,
    tasks: new Map(),
    images: new Map(),
    recordBytes: emptyRecordBytes(facts),
    used: { ...ZERO_RESOURCES },
    usedBestEffort: { ...ZERO_RESOURCES },
    firmTasks: 0,
    stoppingTasks: 0,
    stayingReplicas: 0,
    assignmentVersion: 0,
    idleSince: requestedAt,
  };
}
