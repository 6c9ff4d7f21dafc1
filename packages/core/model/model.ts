/** The data of the fleet's state: jobs, machines, and the assignments that join them. */
import type { Job, TaskState } from '#wire';
import type { Amounts } from './amounts.js';
import type { JobFailures } from '../failures/job-failures.js';
import type { MachineFailures } from '../failures/machine-failures.js';
import type { JobReplicas } from './replica-groups.js';
import type { ServiceCounter } from '../fair-share/service-counter.js';
import type { TaskSet } from './task-set.js';

/** An end of a task that is asked for. */
export interface StopRequest {
  /** Seconds for saving; 0 kills. */
  graceS: number;
  /** Sent in a direct command. It is in the answers to reports in any case. */
  sentDirectly: boolean;
}

/**
 * One attempt of a task on one machine, from the decision until it is proven gone. Times are seconds of
 * the steady clock.
 */
export interface Assignment {
  job: JobState;
  index: number;
  attempt: number;
  machine: Machine;
  /** Durable in the machine's record; only then may the start be sent (docs/safety.md, point 4). */
  recorded: boolean;
  /** Read from the record of an earlier term and not yet seen in a report. */
  inherited: boolean;
  /** The start was sent, in an answer or directly. */
  startSent: boolean;
  /** Number of the first report whose answer carried the start. */
  startAnswerSequence: number | null;
  /** Reports that did not list the task though the answer before them carried its start. */
  missedStarts: number;
  /** What the worker says of it, or null before it does. */
  reportedState: TaskState | null;
  /** The end that is asked for, or null. */
  stop: StopRequest | null;
  /** Share of the fleet booked for it. */
  share: number;
  assignedAt: number;
  /** When it was first seen to run. */
  runningSince: number | null;
}

/** A job that was accepted, and what became of its tasks. Times are seconds of the steady clock. */
export interface JobState {
  /** The job as its user submitted it. */
  spec: Job;
  /** Rank that counts for it: its own, or that of a job that needs it if that is more urgent; 0 is the most urgent. */
  rank: number;
  /** It awaits other jobs; until they are done it takes part in nothing. */
  hasOpenDependencies: boolean;
  /** Runs on room that is there anyway; see `isBestEffort`. */
  isBestEffort: boolean;
  /** Its replicas, if each has several members; null: each task is by itself. */
  replicas: JobReplicas | null;
  /** Equal for jobs whose tasks fit the same machines, zones of their other tasks apart. */
  requirementsKey: string;
  acceptedAt: number;
  /** When its turn begins: when it was accepted, or when the last job that it awaits was done. */
  startableAt: number;
  /** `aborted` and `done` are final. */
  phase: 'accepted' | 'cancelled' | 'done';
  done: TaskSet;
  /** Every place where a task may still be, by task; several if one runs that nobody recorded. */
  assignments: Map<number, Assignment[]>;
  /** All waiting tasks below are in `returnedTasks`. */
  scanFrom: number;
  /** Tasks that lost their place; some may have one again or be done. */
  returnedTasks: Set<number>;
  failures: JobFailures;
  /** Waits after failures: nothing of it is placed before. */
  backoffUntil: number;
  /** Best-effort tasks that were stopped to give their machines back. */
  tasksMoved: number;
  /** Service that the job has received. */
  service: ServiceCounter;
  /** Since when some task waits. */
  waitingSince: number;
  /** Rises with each job that begins to wait. */
  waitingOrder: number;
}

/** How far the machine's token has been raised above that of unacknowledged starts. */
export type Fence =
  /** Nothing is to be fenced off. */
  | 'none'
  /** The next record of the machine is to raise its token. */
  | 'requested'
  /** The record is written; earlier starts are harmless once a report shows the new token. */
  | 'recorded';

/** Room that was made by stopping work, and the job that it waits for. */
export interface CapacityHold {
  job: JobState;
  until: number;
}

/**
 * A rented machine and its worker. Times are seconds of this process's steady clock. What is read-only here is
 * changed by the MachineRegistry alone, which keeps groups of machines by it.
 */
export interface Machine {
  name: string;
  /** Rises with each machine that becomes known. */
  readonly number: number;
  /** `host:port` of the worker; empty until it has reported. */
  addr: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  spot: boolean;
  /** `expired`: its lease has certainly run out, and nothing is on it (docs/safety.md, point 5). */
  readonly state: 'booting' | 'up' | 'expired';
  requestedAt: number;
  expiredAt: number;
  /** When the cloud takes it away, if it gave notice. */
  readonly reclaimAt: number | null;
  /** The cloud lists it as failed. */
  readonly failedInList: boolean;

  /** The worker's session: rises whenever its lease has run out. */
  agentEpoch: number;
  /** Newest message of the session of any kind, and newest report that was answered. */
  lastMessageSequence: number;
  lastHeartbeatSequence: number;
  /** What answers carry: the term, or the revision of the record that fenced it last if later. */
  fencingToken: number;
  /** A report has shown this term's token, so older commands and answers can have no effect. */
  termConfirmed: boolean;
  /** When the last report that was answered arrived. */
  answeredAt: number;
  /** Since when its reports have been answered without a gap. */
  answeredSince: number;
  /** Since when its reports have not shown the token of the answers before them. */
  oldFencingTokenSince: number | null;

  fence: Fence;
  /** Direct starts that were not answered and may still arrive, by attempt, and when they were sent. */
  unacknowledgedStarts: Map<string, number>;
  directCommandInFlight: boolean;
  noDirectCommandBefore: number;

  /** Takes no new work and is given back once it is empty. */
  readonly draining: boolean;
  /** Takes no new work before. */
  cordonedUntil: number;
  /** Failures that may be its fault. */
  failures: MachineFailures;
  /** Id of the gang that it is kept free for. */
  readonly reservedForGang: string | null;
  capacityHold: CapacityHold | null;

  /** By task name: what is or may be on it. */
  tasks: Map<string, Assignment>;
  /** Bytes in JSON of the machine's record. */
  recordBytes: number;
  /** What these tasks take of it. */
  used: Amounts;
  /** The part of it that best-effort tasks take. */
  usedBestEffort: Amounts;
  /** Tasks on it that are not best-effort. */
  firmTasks: number;
  /** Tasks on it whose end was asked for. */
  readonly stoppingTasks: number;
  /** Replicas on it that are not best-effort and whose end was not asked for. */
  readonly stayingReplicas: number;
  /** Rises whenever a task comes or goes. */
  assignmentVersion: number;
  /** Since when it has no firm task; of use only while it has none. */
  idleSince: number;
  /** Size in GB by name of the images that its worker should have, most recently used last. */
  images: Map<string, number>;
}

/** Durations in seconds. */
export interface FleetSettings {
  /** The workers' lease and report period. */
  leaseS: number;
  heartbeatIntervalS: number;
  /** For how long tasks of a gang that is being stopped wait for each other. */
  gangPeerS: number;
  /** How long an earlier owner may have gone on answering after losing its term. */
  formerLeaderS: number;
  /** Half-life of service received. */
  halfLifeS: number;
  /** Bytes in JSON that the record of a machine may have. */
  machineRecordBytes: number;
}

/** Every place where a task of the job may still be. */
export function* assignmentsOf(job: JobState): Generator<Assignment> {
  for (const list of [...job.assignments.values()]) yield* list;
}
