/**
 * The entities of the fleet's state: jobs, machines, the assignments that join them, and the replicas that join
 * assignments. These types refer to each other, so they are declared together; other types have modules of their own.
 */
import type { Job, TaskState } from '#wire';
import type { ServiceCounter } from '../fair-share/service-counter.js';
import type { JobFailures } from '../failures/job-failures.js';
import type { MachineFailures } from '../failures/machine-failures.js';
import type { EndCause } from './end-cause.js';
import type { MachineFacts } from './machine-facts.js';
import type { MachineUsage } from './machine-usage.js';
import type { AssignmentOrigin, ReplicaShape } from './replica-shape.js';
import type { TaskSet } from './task-set.js';
import type { WorkerState } from './worker-state.js';

/** A request to stop a task. */
export interface StopRequest {
  /** Time in seconds for a checkpoint; 0 kills at once. */
  graceS: number;
  /** Whether the request was sent in a direct command. Answers to heartbeats contain it in any case. */
  sentDirectly: boolean;
}

/**
 * One attempt of a task on one machine, from the placement decision until the attempt is proven gone. Times are seconds
 * of the monotonic clock.
 */
export interface Assignment {
  job: JobState;
  /** Index of the task in its job. */
  index: number;
  /** Attempt number, unique to this start across all terms; the tasks of a gang share it. */
  attempt: number;
  machine: Machine;
  /**
   * Whether the assignment is durable in the machine's record. Only then may the start be sent (docs/safety.md,
   * point 4).
   */
  recorded: boolean;
  /** Whether the assignment was read from the record of an earlier term and no heartbeat has listed the task yet. */
  inherited: boolean;
  /** Whether the start was sent, in a heartbeat answer or in a direct command. */
  startSent: boolean;
  /** Sequence of the first heartbeat whose answer carried the start. */
  startAnswerSequence: number | null;
  /** Number of heartbeats that did not list the task although the answer before them carried the task's start. */
  missedStarts: number;
  /** State that the worker reported last, or null before the first report. */
  reportedState: TaskState | null;
  /** Set once the task is to stop. */
  stop: StopRequest | null;
  /** Share of the fleet's resources that is charged for the assignment. */
  share: number;
  assignedAt: number;
  /** When a worker first reported the attempt as running. */
  runningSince: number | null;
}

/** A job that was accepted, and the state of its tasks. Times are seconds of the monotonic clock. */
export interface JobState {
  /** The job as its user submitted it. */
  spec: Job;
  /** Effective rank: the job's own, or that of a dependent if that is more urgent; 0 is the most urgent. */
  rank: number;
  /** Whether some job that this job depends on is not done. Until all are done, no task of this job is placed. */
  hasOpenDependencies: boolean;
  /** Whether the job runs on spare capacity only; see `isBestEffort`. */
  isBestEffort: boolean;
  /** The job's replicas, if each has several members; null if the tasks run independently of each other. */
  replicas: JobReplicas | null;
  /**
   * Key that is equal for jobs whose tasks fit the same machines. It ignores the constraints that the zones of a job's
   * other tasks impose.
   */
  requirementsKey: string;
  acceptedAt: number;
  /** When the job's tasks could first start: when the job was accepted, or when its last open dependency was done. */
  startableAt: number;
  /** `cancelled` and `done` are final. */
  phase: 'accepted' | 'cancelled' | 'done';
  /** Tasks that have completed. */
  done: TaskSet;
  /** Assignments by task index, until the task is proven gone; several for a task if an unrecorded attempt of it runs. */
  assignments: Map<number, Assignment[]>;
  /** Index where the scan for waiting tasks starts. Waiting tasks with a lower index are in `requeuedTasks`. */
  scanFrom: number;
  /** Indexes of tasks that lost their assignment. Some of these tasks may be assigned again or done. */
  requeuedTasks: Set<number>;
  /** Failures of the job's tasks since one of them last succeeded. */
  failures: JobFailures;
  /** Backoff after failures: no task of the job is placed before this time. */
  backoffUntil: number;
  /** Number of best-effort tasks that were stopped to empty their machines. */
  tasksMoved: number;
  /** Service that the job has received. */
  service: ServiceCounter;
  /** Time since which at least one task of the job has been waiting. */
  waitingSince: number;
  /** Ascending number in the order in which jobs began to wait. */
  waitingOrder: number;
}

/** Capacity that was freed by preemption, and the job that it is held for. */
export interface CapacityHold {
  job: JobState;
  /** Seconds of the monotonic clock. */
  until: number;
}

/**
 * A provisioned machine and its worker. Times are seconds of this process's monotonic clock. Only the MachineRegistry
 * changes the read-only fields, since they decide which groups of machines the machine belongs to.
 */
export interface Machine extends MachineFacts, WorkerState, MachineUsage {
  /** Ascending number in the order in which machines became known. */
  readonly number: number;
  /** `expired`: the worker's lease has certainly expired, and no task is on the machine (docs/safety.md, point 5). */
  readonly state: 'booting' | 'up' | 'expired';
  requestedAt: number;
  /** When the lease of the machine's worker was found to have expired. */
  expiredAt: number;
  /** Agent epoch in which the lease expired last. The tasks that its delayed heartbeats list were killed. */
  expiredEpoch: number;
  /** When the cloud reclaims the machine; null without a reclaim notice. */
  readonly reclaimAt: number | null;
  /** Whether the cloud lists the machine as failed. */
  readonly failedInList: boolean;

  /** Whether the machine takes no new work and is deprovisioned once it is empty. */
  readonly draining: boolean;
  /** The machine takes no new work before this time. */
  cordonedUntil: number;
  /** Task failures that the machine may have caused. */
  failures: MachineFailures;
  /** Id of the gang that the machine is kept free for. */
  readonly reservedForGang: string | null;
  capacityHold: CapacityHold | null;

  /** Assignments by task name, of all tasks that are or may be on the machine. */
  tasks: Map<string, Assignment>;
  /** Images that the worker should have in its cache: size in GB by name, most recently used last. */
  images: Map<string, number>;
}

/**
 * The replicas of one job, each of several members. All members of a replica have the same attempt number, which is the
 * replica's generation. The package `replicas` implements this interface (docs/replica-groups.md).
 */
export interface JobReplicas extends Readonly<ReplicaShape> {
  /** A member was assigned to a machine. */
  memberAssigned(assignment: Assignment, origin: AssignmentOrigin, now: number): void;
  /** The member's assignment is durable in its machine's record. */
  memberRecorded(assignment: Assignment, now: number): void;
  /** The member was first reported as running. */
  memberRunning(assignment: Assignment, now: number): void;
  /** The member was asked to stop. */
  memberStopping(assignment: Assignment, now: number): void;
  /** The member is proven gone, and its assignment has ended. */
  memberEnded(assignment: Assignment, cause: EndCause, now: number): void;
  /** Whether the member's start may be sent. */
  mayStart(assignment: Assignment): boolean;
  /** Stops the whole replica that the assignment belongs to, to free its capacity for other work. */
  preempt(assignment: Assignment, now: number): void;
  /** Moves the whole replica off a machine that the cloud reclaims, once it fits elsewhere or little time is left. */
  moveOff(assignment: Assignment, now: number): void;
  /** All assignments of the replica's generation that the given assignment belongs to. */
  assignmentsOfReplica(assignment: Assignment): Assignment[];
  /** Numbers of up to `limit` replicas that have no assignments and may be placed now. */
  waitingReplicas(limit: number, now: number): number[];
  /** The job was done or cancelled. */
  jobClosed(): void;
}

/** All assignments of the job's tasks. The assignments may change during the iteration. */
export function* assignmentsOf(job: JobState): Generator<Assignment> {
  for (const list of [...job.assignments.values()]) yield* list;
}
