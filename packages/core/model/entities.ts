/**
 * The entities of the fleet's state: jobs, machines, the assignments that join them, and the replicas that join
 * assignments. They name each other, so they are declared together; what names none of them has a module of its own.
 */
import type { Job, TaskState } from '#wire';
import type { ServiceCounter } from '../fair-share/service-counter.js';
import type { JobFailures } from '../failures/job-failures.js';
import type { MachineFailures } from '../failures/machine-failures.js';
import type { EndCause } from './end-cause.js';
import type { MachineFacts } from './machine-facts.js';
import type { MachineUsage } from './machine-usage.js';
import type { PlaceOrigin, ReplicaShape } from './replica-shape.js';
import type { TaskSet } from './task-set.js';
import type { WorkerState } from './worker-state.js';

/** A task that is to stop. */
export interface StopRequest {
  /** Seconds for a checkpoint; 0 kills. */
  graceS: number;
  /** Sent in a direct command. It is in the answers to heartbeats in any case. */
  sentDirectly: boolean;
}

/**
 * One attempt of a task on one machine, from the decision until it is proven gone. Times are seconds of
 * the steady clock.
 */
export interface Assignment {
  job: JobState;
  /** Index of the task in its job. */
  index: number;
  /** Attempt number, which no other start of any term has; the tasks of a gang share it. */
  attempt: number;
  machine: Machine;
  /** Durable in the machine's record; only then may the start be sent (docs/safety.md, point 4). */
  recorded: boolean;
  /** Read from the record of an earlier term and not yet listed in a heartbeat. */
  inherited: boolean;
  /** The start was sent, in an answer or directly. */
  startSent: boolean;
  /** Sequence of the first heartbeat whose answer carried the start. */
  startAnswerSequence: number | null;
  /** Heartbeats that did not list the task though the answer before them carried its start. */
  missedStarts: number;
  /** What the worker says of it, or null before it does. */
  reportedState: TaskState | null;
  /** Set once the task is to stop. */
  stop: StopRequest | null;
  /** Share of the fleet booked for it. */
  share: number;
  assignedAt: number;
  /** When it was first seen to run. */
  runningSince: number | null;
}

/** A job that was accepted, and the state of its tasks. Times are seconds of the steady clock. */
export interface JobState {
  /** The job as its user submitted it. */
  spec: Job;
  /** Rank that counts for it: its own, or that of a dependent if that is more urgent; 0 is the most urgent. */
  rank: number;
  /** Jobs that it depends on are not done; until they are, none of its tasks is placed. */
  hasOpenDependencies: boolean;
  /** Runs on capacity that is there anyway; see `isBestEffort`. */
  isBestEffort: boolean;
  /** Its replicas, if each has several members; null: each task is by itself. */
  replicas: JobReplicas | null;
  /** Equal for jobs whose tasks fit the same machines, zones of their other tasks apart. */
  requirementsKey: string;
  acceptedAt: number;
  /** When its turn begins: when it was accepted, or when its last open dependency was done. */
  startableAt: number;
  /** `cancelled` and `done` are final. */
  phase: 'accepted' | 'cancelled' | 'done';
  /** Tasks that have completed. */
  done: TaskSet;
  /** Every place where a task may still be, by task; several if one runs that nobody recorded. */
  assignments: Map<number, Assignment[]>;
  /** All waiting tasks below are in `returnedTasks`. */
  scanFrom: number;
  /** Tasks that lost their place; some may have one again or be done. */
  returnedTasks: Set<number>;
  /** Failures of its tasks since one succeeded. */
  failures: JobFailures;
  /** Backoff after failures: no task of it is placed before. */
  backoffUntil: number;
  /** Best-effort tasks that were stopped to empty their machines. */
  tasksMoved: number;
  /** Service that the job has received. */
  service: ServiceCounter;
  /** Since when some task waits. */
  waitingSince: number;
  /** Rises with each job that begins to wait. */
  waitingOrder: number;
}

/** Capacity that was freed by preemption, and the job that it is held for. */
export interface CapacityHold {
  job: JobState;
  /** Seconds of the steady clock. */
  until: number;
}

/**
 * A provisioned machine and its worker. Times are seconds of this process's steady clock. What is read-only here is
 * changed by the MachineRegistry alone, which keeps groups of machines by it.
 */
export interface Machine extends MachineFacts, WorkerState, MachineUsage {
  /** Rises with each machine that becomes known. */
  readonly number: number;
  /** `expired`: its worker's lease has certainly expired, and nothing is on it (docs/safety.md, point 5). */
  readonly state: 'booting' | 'up' | 'expired';
  requestedAt: number;
  /** When its worker's lease was found to have expired. */
  expiredAt: number;
  /** When the cloud reclaims it, if it gave notice. */
  readonly reclaimAt: number | null;
  /** The cloud lists it as failed. */
  readonly failedInList: boolean;

  /** Takes no new work and is deprovisioned once it is empty. */
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
  /** Size in GB by name of the images that its worker should have, most recently used last. */
  images: Map<string, number>;
}

/**
 * The replicas of one job, each of several members. All members of a replica carry the same attempt, which is its
 * generation. The package `replicas` implements it (docs/replica-groups.md).
 */
export interface JobReplicas extends Readonly<ReplicaShape> {
  /** A member has got a place. */
  placeAdded(assignment: Assignment, origin: PlaceOrigin, now: number): void;
  /** The place is durable in its machine's record. */
  placeRecorded(assignment: Assignment, now: number): void;
  /** The member is seen to run. */
  memberRunning(assignment: Assignment, now: number): void;
  /** The member is to stop. */
  memberStopping(assignment: Assignment, now: number): void;
  /** The member is proven gone. */
  placeEnded(assignment: Assignment, cause: EndCause, now: number): void;
  /** Whether the member's start may be sent. */
  mayStart(assignment: Assignment): boolean;
  /** Stops the whole replica that the assignment belongs to, for other work. */
  preempt(assignment: Assignment, now: number): void;
  /** The cloud will reclaim the member's machine: moves the whole replica, if it can be placed elsewhere or must go. */
  moveOff(assignment: Assignment, now: number): void;
  /** All places of the generation that the assignment belongs to. */
  placesWith(assignment: Assignment): Assignment[];
  /** Up to `limit` replicas without any place that may be given one now, by number. */
  waiting(limit: number, now: number): number[];
  /** The job is over for its user. */
  jobClosed(): void;
}

/** Every place where a task of the job may still be. Tolerates changes of the assignments meanwhile. */
export function* assignmentsOf(job: JobState): Generator<Assignment> {
  for (const list of [...job.assignments.values()]) yield* list;
}
