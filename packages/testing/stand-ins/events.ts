/**
 * Events that the stand-ins report: changes of the actual state of machines and tasks, requests of users
 * and their answers, and transactions of the state service. The scheduler under test never sees these
 * events; the rule checker does.
 */
import type { ExitCause, Change, Job, MachineType, Phase, TaskRef } from '#wire';

/** Properties of a machine that are fixed when it starts. */
export interface MachineFacts {
  name: string;
  /** True unless tasks fail on the machine or run much slower than on other machines of its type. */
  healthy: boolean;
  /** `host:port` where the worker accepts commands. */
  address: string;
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** Why a task left its machine. `killed`: the worker's lease expired or the machine is gone. */
export type LeaveCause = ExitCause | 'killed';

/** An event that concerns a machine or a task on a machine. */
export type MachineEvent =
  | { kind: 'machine-up'; machine: MachineFacts }
  | { kind: 'machine-gone'; machine: string }
  /** The cloud has announced that it will reclaim the machine. */
  | { kind: 'machine-noticed'; machine: string }
  /** The worker starts to hang, or resumes. */
  | { kind: 'machine-hangs'; machine: string; hanging: boolean }
  /** The worker has executed a start command; the task waits for its image. */
  | { kind: 'task-assigned'; machine: string; task: TaskRef }
  /** The image of the task is complete. From now on the task counts as being on the machine. */
  | { kind: 'task-started'; machine: string; task: TaskRef }
  /** The task has left the machine. Also reported for a task that still waited for its image. */
  | { kind: 'task-left'; machine: string; task: TaskRef; cause: LeaveCause }
  /** A direct command that the worker executed and answered before has arrived once more. */
  | { kind: 'command-repeated'; machine: string; starts: TaskRef[]; admitted: boolean }
  /** The result of the task is stored permanently. */
  | { kind: 'task-completed'; job: string; index: number };

/** Kinds of user requests; the protocol calls a cancellation `abort`. */
export type RequestKind = 'submit' | 'poll' | 'abort';

/** One request of a user. All events about the request refer to the same object. */
export interface UserRequest {
  kind: RequestKind;
  job: string;
}

/** An action of a user, or an answer to a user. */
export type UserEvent =
  /** A job is about to be submitted for the first time. A job that is not runnable must be refused. */
  | { kind: 'job-submitted'; id: string; job: Job; runnable: boolean }
  /** A user is about to send the first cancellation request for a job. */
  | { kind: 'cancel-asked'; job: string }
  | { kind: 'asked'; request: UserRequest }
  | { kind: 'answered'; request: UserRequest; status: number; phase: Phase | null }
  /** No response arrived before the timeout, or the connection failed. */
  | { kind: 'unanswered'; request: UserRequest };

/** The state service has applied a transaction, or refused it because a condition failed. */
export interface TransactionEvent {
  kind: 'transaction';
  /** Address of the host that sent the transaction. */
  clientHost: string;
  changes: Change[];
  applied: boolean;
  /** Whether the client gets an answer. */
  answered: boolean;
  /** Whether it is a copy of a transaction that was applied and answered before. */
  repeated: boolean;
  /** Seconds between the arrival of the transaction and this event. */
  pendingS: number;
}

/** Any event that a stand-in reports. */
export type WorldEvent = MachineEvent | UserEvent | TransactionEvent;

/** Receives each event at the moment at which it happens. */
export type Observer = (event: WorldEvent) => void;
