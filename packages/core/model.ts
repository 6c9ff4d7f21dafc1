import type { Job, TaskState } from '#wire';
import type { Amounts, ServiceCounter } from './fairshare.js';
import { TaskSet } from './taskset.js';

export interface StopRequest {
  /** Seconds for saving; 0 kills. */
  graceS: number;
  /** Sent in a direct command. It is in the answers to reports in any case. */
  sentDirectly: boolean;
}

/** One attempt of a task on one machine, from the decision until it is proven gone. */
export interface Assignment {
  job: JobState;
  index: number;
  attempt: number;
  machine: Machine;
  /** Durable in the machine's record; only then may the start be sent. */
  recorded: boolean;
  /** Read from the record of an earlier term and not yet seen in a report. */
  inherited: boolean;
  /** The start was sent, in an answer or directly. */
  startSent: boolean;
  /** Number of the first report whose answer carried the start. */
  startAnswerSeq: number | null;
  /** Answers that carried the start without it showing in the next report. */
  missedStarts: number;
  reported: TaskState | null;
  /** The end that is asked for, or null. */
  stop: StopRequest | null;
  /** Share of the fleet booked for it. */
  share: number;
  assignedAt: number;
  runningSince: number | null;
}

export interface JobState {
  job: Job;
  /** What decides, zones of its other tasks apart, on which machines a task fits. */
  shape: string;
  /** On the steady clock of this process. */
  acceptedAt: number;
  phase: 'accepted' | 'aborted' | 'done';
  done: TaskSet;
  /** Done tasks that the state service doesn't hold yet. */
  unsaved: boolean;
  /** Every place where a task may still be, by task. */
  places: Map<number, Assignment[]>;
  /** Tasks below the cursor that lost their place. */
  requeued: Set<number>;
  cursor: number;
  failures: number;
  notBefore: number;
  service: ServiceCounter;
  waitingSince: number;
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
export interface RoomHold {
  job: JobState;
  until: number;
}

/** A rented machine and its worker. Times are seconds of this process's steady clock. */
export interface Machine {
  name: string;
  /** `host:port` of the worker; empty until it has reported. */
  addr: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  spot: boolean;
  /** `expired`: its lease has certainly run out, and nothing is on it (docs/safety.md, point 5). */
  state: 'booting' | 'up' | 'expired';
  rentedAt: number;
  expiredAt: number;
  /** When the cloud takes it away, if it gave notice. */
  reclaimAt: number | null;
  /** The cloud lists it as failed. */
  failedInList: boolean;

  /** The worker's session: rises whenever its lease has run out. */
  session: number;
  /** Newest message of the session of any kind, and newest report that was answered. */
  lastMessageSeq: number;
  lastReportSeq: number;
  /** What answers carry: the term, or the revision of the record that fenced it last if later. */
  token: number;
  /** A report has shown this term's token, so older commands and answers can have no effect. */
  termConfirmed: boolean;
  /** When the last report that was answered arrived. */
  answeredAt: number;
  /** Since when its reports have been answered without a gap. */
  answeredSince: number;
  /** Since when its reports have not shown the token of the answers before them. */
  oldTokenSince: number | null;

  fence: Fence;
  /** Direct starts that were not answered and may still arrive, by attempt, and when they were sent. */
  unacknowledgedStarts: Map<string, number>;
  directCommandInFlight: boolean;
  noDirectCommandBefore: number;

  /** Takes no new work and is given back once it is empty. */
  draining: boolean;
  /** Takes no new work before. */
  avoidUntil: number;
  /** Tasks that failed on it. */
  taskErrors: number;
  /** Id of the gang that it is kept free for. */
  reservedForGang: string | null;
  roomHold: RoomHold | null;

  /** By task name: what is or may be on it. */
  tasks: Map<string, Assignment>;
  /** What these tasks take of it. */
  used: Amounts;
  /** Rises whenever a task comes or goes. */
  assignmentVersion: number;
  /** Since when it has no task; of use only while it has none. */
  idleSince: number;
  /** Size in GB by name of the images that its worker should have, most recently used last. */
  images: Map<string, number>;
}

export interface FleetSettings {
  leaseS: number;
  reportS: number;
  gangPeerS: number;
  /** How long an earlier owner may have gone on answering after losing its term. */
  formerOwnerS: number;
  halfLifeS: number;
  maxTasksPerMachine: number;
}

/** Every place where a task of the job may still be. */
export function* assignmentsOf(job: JobState): Generator<Assignment> {
  for (const list of [...job.places.values()]) yield* list;
}
