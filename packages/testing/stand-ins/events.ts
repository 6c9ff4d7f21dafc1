/**
 * What happens in the world of the stand-ins, as nobody inside it can see it: the true state of all
 * machines, all that users ask and are told, and the transactions of the state service. The rule checker
 * reads these events.
 */
import type { ExitCause, Change, Job, MachineType, Phase, TaskRef } from '#wire';

/** What is known of a machine from its start on. */
export interface MachineFacts {
  name: string;
  /** Tasks neither fail on it nor run much slower than on others of its type. */
  sound: boolean;
  /** `host:port` where the worker takes commands. */
  address: string;
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** Why a task is on its machine no more; `killed`: its lease ended or the machine is gone. */
export type LeaveCause = ExitCause | 'killed';

/** Something that happens to a machine or to a task on it. */
export type MachineEvent =
  | { kind: 'machine-up'; machine: MachineFacts }
  | { kind: 'machine-gone'; machine: string }
  /** The cloud has announced that it will take the machine. */
  | { kind: 'machine-noticed'; machine: string }
  /** The worker hangs or goes on. */
  | { kind: 'machine-hangs'; machine: string; hanging: boolean }
  /** A start command was carried out: the task waits for its image. */
  | { kind: 'task-assigned'; machine: string; task: TaskRef }
  /** The task has its image: from now on it is on the machine. */
  | { kind: 'task-started'; machine: string; task: TaskRef }
  /** The task is gone, also if it still waited for its image. */
  | { kind: 'task-left'; machine: string; task: TaskRef; cause: LeaveCause }
  /** The result of the task exists, for good. */
  | { kind: 'task-completed'; job: string; index: number };

/** Kinds of requests; `abort` is the word of the protocol for a cancellation. */
export type RequestKind = 'submit' | 'poll' | 'abort';

/** One request of a user; all events about it hold the same object. */
export interface UserRequest {
  kind: RequestKind;
  job: string;
}

/** Something that a user does or is told. */
export type UserEvent =
  /** A job is about to be submitted for the first time; it must be refused unless it is runnable. */
  | { kind: 'job-submitted'; id: string; job: Job; runnable: boolean }
  /** A user is about to ask for the first time that a job be cancelled. */
  | { kind: 'cancel-asked'; job: string }
  | { kind: 'asked'; request: UserRequest }
  | { kind: 'answered'; request: UserRequest; status: number; phase: Phase | null }
  /** No response came in time, or the connection failed. */
  | { kind: 'unanswered'; request: UserRequest };

/** The state service has carried a transaction out, or refused it because a condition failed. */
export interface TransactionEvent {
  kind: 'transaction';
  /** Address of the host that sent it. */
  clientHost: string;
  changes: Change[];
  applied: boolean;
  /** Whether its client gets an answer. */
  answered: boolean;
  /** Seconds since it arrived. */
  heldS: number;
}

/** Any event of the world. */
export type WorldEvent = MachineEvent | UserEvent | TransactionEvent;

/** Takes each event at the moment at which it happens. */
export type Observer = (event: WorldEvent) => void;
