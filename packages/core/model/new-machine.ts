import { ZERO_AMOUNTS } from './amounts.js';
import { noMachineFailures } from '../failures/machine-failures.js';
import { emptyRecordBytes } from './machine-record-size.js';
import type { Machine } from './model.js';

/** What identifies a machine and decides which tasks it may hold. */
export interface MachineFacts {
  name: string;
  /** `host:port` of the worker, empty until it has reported. */
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** What is known of a machine's worker. */
type WorkerFields = Pick<
  Machine,
  | 'agentEpoch'
  | 'lastMessageSequence'
  | 'lastHeartbeatSequence'
  | 'fencingToken'
  | 'termConfirmed'
  | 'answeredAt'
  | 'answeredSince'
  | 'oldFencingTokenSince'
  | 'fence'
  | 'unacknowledgedStarts'
  | 'directCommandInFlight'
  | 'noDirectCommandBefore'
>;

/** Where a new machine comes in the registry, and what answers to it carry. */
interface NewMachine {
  facts: MachineFacts;
  number: number;
  state: Machine['state'];
  requestedAt: number;
  fencingToken: number;
}

/** A machine without tasks of which nothing was heard. */
export function newMachine({
  facts,
  number,
  state,
  requestedAt,
  fencingToken,
}: NewMachine): Machine {
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
    ...unknownWorker(fencingToken),
    expiredAt: 0,
    reclaimAt: null,
    draining: false,
    cordonedUntil: 0,
    failures: noMachineFailures(),
    images: new Map(),
    tasks: new Map(),
    recordBytes: emptyRecordBytes(facts),
    used: { ...ZERO_AMOUNTS },
    usedBestEffort: { ...ZERO_AMOUNTS },
    firmTasks: 0,
    stoppingTasks: 0,
    stayingReplicas: 0,
    assignmentVersion: 0,
    idleSince: requestedAt,
    reservedForGang: null,
    capacityHold: null,
    failedInList: false,
  };
}

function unknownWorker(fencingToken: number): WorkerFields {
  return {
    agentEpoch: 0,
    lastMessageSequence: -1,
    lastHeartbeatSequence: -1,
    fencingToken,
    termConfirmed: false,
    answeredAt: -Infinity,
    answeredSince: Infinity,
    oldFencingTokenSince: null,
    fence: 'none',
    unacknowledgedStarts: new Map(),
    directCommandInFlight: false,
    noDirectCommandBefore: 0,
  };
}
