import { Order, Heartbeat, TaskRef, taskName, TaskStatus } from '#wire';
import { taskRef } from './answer-orders.js';
import type { Assignments } from '../assignments.js';
import type { FleetTables } from '../fleet-tables.js';
import type { Assignment, JobState, Machine } from '../model/model.js';
import type { StartFencing } from './start-fencing.js';

/** Answers that may carry a start without effect before the machine is avoided. */
const MAX_MISSED_STARTS = 3;

/** What reports say of single tasks, listed or missing, and what follows (docs/safety.md, point 5). */
export class TaskReconciler {
  constructor(
    private readonly tables: FleetTables,
    private readonly assignments: Assignments,
    private readonly fencing: StartFencing,
  ) {}

  /**
   * The tasks that the worker lists; returns what to tell it of them. Those that have exited come first:
   * a live attempt beside them then holds the place of the task.
   */
  reconcileListed(machine: Machine, tasks: TaskStatus[], now: number): Order[] {
    const exited = tasks.filter((task) => task.state === 'exited');
    const live = tasks.filter((task) => task.state !== 'exited');
    const orders = [...exited, ...live].map((task) => this.listed(machine, task, now));
    return orders.filter((order) => order !== null);
  }

  private listed(machine: Machine, task: TaskStatus, now: number): Order | null {
    const ref: TaskRef = { job: task.job, index: task.index, attempt: task.attempt };
    const job = this.tables.jobs.get(task.job);
    let assignment = machine.tasks.get(taskName(task.job, task.index));
    if (assignment && assignment.attempt !== task.attempt) {
      if (task.state === 'exited') return this.otherExited(assignment, task, ref, now);
      // One that was or may be started holds the place by itself, until the listed one has gone.
      if (!this.assignments.endIfUnsent(assignment, now)) return killOrder(ref);
      assignment = undefined;
    }
    if (!assignment) {
      if (task.state === 'exited') return this.unassignedExited(machine, task, job, ref);
      if (!job || task.index >= job.spec.tasks) return killOrder(ref);
      // Nothing should run unrecorded; if it does, it holds its place until it is gone.
      assignment = this.assignments.adoptToStop(job, task.index, machine, task.attempt, now);
    }
    this.applyState(assignment, task, now);
    if (task.state !== 'exited') return null;
    return this.exited(assignment, task, ref, now);
  }

  /** An attempt has exited beside the one that the machine is given now. */
  private otherExited(
    assignment: Assignment,
    task: TaskStatus,
    ref: TaskRef,
    now: number,
  ): Order | null {
    const { job, machine } = assignment;
    if (task.cause === 'done' && job.phase === 'accepted') {
      this.tables.jobs.markDone(job, task.index);
      this.assignments.stop(assignment, 0, now);
    }
    return this.mayForget(machine, ref, job) ? forgetOrder(ref) : null;
  }

  private unassignedExited(
    machine: Machine,
    task: TaskStatus,
    job: JobState | undefined,
    ref: TaskRef,
  ): Order | null {
    if (task.cause === 'done' && job && job.phase === 'accepted') {
      this.tables.jobs.markDone(job, task.index);
    }
    return this.mayForget(machine, ref, job) ? forgetOrder(ref) : null;
  }

  private applyState(assignment: Assignment, task: TaskStatus, now: number): void {
    assignment.inherited = false;
    if (assignment.reportedState !== task.state) this.tables.jobs.countsChanged(assignment.job);
    assignment.reportedState = task.state;
    if (task.state !== 'running') return;
    if (assignment.runningSince === null) {
      assignment.runningSince = now;
      this.tables.listener.taskRunning(assignment, now);
      assignment.job.replicas?.memberRunning(assignment, now);
    }
    this.tables.failures.taskRuns(assignment, now);
  }

  private exited(
    assignment: Assignment,
    task: TaskStatus,
    ref: TaskRef,
    now: number,
  ): Order | null {
    const { job, machine } = assignment;
    const cause = task.cause ?? 'error';
    if (cause === 'done') {
      this.tables.jobs.markDone(job, task.index);
      this.tables.failures.taskCompleted(assignment, now);
    }
    this.assignments.end(assignment, cause, task.checkpointed, now);
    return this.mayForget(machine, ref, job) ? forgetOrder(ref) : null;
  }

  /**
   * Only once its result is durable and no start of the attempt can still arrive: a worker that has
   * forgotten an attempt would start it again.
   */
  private mayForget(machine: Machine, ref: TaskRef, job: JobState | undefined): boolean {
    if (job && this.isUnrecordedEnd(job, ref.index)) return false;
    return !this.fencing.mayArrive(machine, ref);
  }

  /** The task is done, and a later owner would not know: neither it nor the end of its job is recorded. */
  private isUnrecordedEnd({ phase, done, spec }: JobState, index: number): boolean {
    if (phase !== 'accepted' || !done.has(index)) return false;
    const isAllDone = done.size === spec.tasks;
    return isAllDone || this.tables.unrecorded.doneTasksOf(spec.id).has(index);
  }

  /** A task of the machine that the worker's report does not list. */
  reconcileMissing(assignment: Assignment, heartbeat: Heartbeat, now: number): void {
    const { machine, reportedState, inherited, startSent, startAnswerSequence } = assignment;
    if (reportedState !== null) this.assignments.end(assignment, 'lost', false, now);
    else if (inherited) {
      // An old start may still arrive until the worker has seen this term's token.
      if (heartbeat.fencingToken >= this.tables.term)
        this.assignments.end(assignment, 'lost', false, now);
    } else if (this.fencing.mayArrive(machine, taskRef(assignment))) return;
    else if (startSent && startAnswerSequence === null) this.onlySentDirectly(assignment, now);
    else if (startAnswerSequence !== null && heartbeat.sequence > startAnswerSequence)
      this.missedStart(assignment, now);
  }

  /** The direct start was refused or is fenced off. */
  private onlySentDirectly(assignment: Assignment, now: number): void {
    if (assignment.stop !== null) {
      this.assignments.end(assignment, 'stopped', false, now);
      return;
    }
    assignment.startSent = false;
    this.tables.machinesWithCommands.add(assignment.machine);
  }

  /**
   * The worker sends its next report only when the answer has come or was given up, so the start that
   * the answer carried did not arrive and no longer can.
   */
  private missedStart(assignment: Assignment, now: number): void {
    assignment.missedStarts++;
    if (assignment.stop === null) {
      if (assignment.missedStarts < MAX_MISSED_STARTS) return;
      assignment.machine.cordonedUntil = now + this.tables.settings.leaseS;
    }
    this.assignments.end(assignment, 'lost', false, now);
  }
}

function forgetOrder(ref: TaskRef): Order {
  return { op: 'forget', ...ref };
}

function killOrder(ref: TaskRef): Order {
  return { op: 'stop', graceS: 0, ...ref };
}
