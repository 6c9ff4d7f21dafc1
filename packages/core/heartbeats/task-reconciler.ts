/** Compares the task list of a heartbeat with the assignments (docs/safety.md, point 5). */
import { type Heartbeat, type Order, taskName, type TaskRef, type TaskStatus } from '#wire';
import type { Assignments } from '../assignments/assignments.js';
import type { FleetData } from '../fleet-data.js';
import type { Assignment, JobState, Machine } from '../model/entities.js';
import { forgetOrder, taskRef } from './answer-orders.js';
import type { StartFencing } from './start-fencing.js';
import type { UnexpectedAttempts } from './unexpected-attempts.js';

/** How many heartbeat answers may carry a start without effect before the machine is cordoned. */
const MAX_MISSED_STARTS = 3;

/** Applies what heartbeats report of single tasks, listed or missing. Times are seconds of the monotonic clock. */
export class TaskReconciler {
  constructor(
    private readonly fleet: FleetData,
    private readonly assignments: Assignments,
    private readonly fencing: StartFencing,
    private readonly unexpected: UnexpectedAttempts,
  ) {}

  /**
   * Applies the tasks that the worker lists, and returns the orders about them. Exited attempts are applied first, so
   * that a live attempt of the same task then keeps the task assigned.
   */
  reconcileListed(machine: Machine, tasks: TaskStatus[], now: number): Order[] {
    machine.retainedAttempts = 0;
    const exited = tasks.filter((task) => task.state === 'exited');
    const live = tasks.filter((task) => task.state !== 'exited');
    this.unexpected.followUp(machine, tasks, now);
    const orders = [...exited, ...live].map((task) => this.reconcileOne(machine, task, now));
    return orders.filter((order) => order !== null);
  }

  private reconcileOne(machine: Machine, task: TaskStatus, now: number): Order | null {
    const ref: TaskRef = { job: task.job, index: task.index, attempt: task.attempt };
    const job = this.fleet.jobs.get(task.job);
    let assignment = machine.tasks.get(taskName(task.job, task.index));
    if (assignment && assignment.attempt !== task.attempt) {
      if (task.state === 'exited') return this.otherAttemptExited(assignment, task, ref, now);
      // If the assigned attempt may have been started, it stays assigned, and the listed attempt is killed.
      if (!this.assignments.endIfUnsent(assignment, now))
        return this.unexpected.kill(machine, ref, now);
      assignment = undefined;
    }
    if (!assignment) {
      if (task.state === 'exited') return this.unassignedTaskExited(machine, task, job, ref);
      if (!job || task.index >= job.spec.tasks) return this.unexpected.kill(machine, ref, now);
      // No task should run without a recorded assignment; one that does is assigned until it is gone.
      this.unexpected.adopted(machine, ref, now);
      assignment = this.assignments.adoptUnrecorded(job, task.index, machine, task.attempt, now);
    }
    this.applyState(assignment, task, now);
    if (task.state !== 'exited') return null;
    return this.taskExited(assignment, task, ref, now);
  }

  /** Handles the exit of an attempt other than the one that is assigned to the machine. */
  private otherAttemptExited(
    assignment: Assignment,
    task: TaskStatus,
    ref: TaskRef,
    now: number,
  ): Order | null {
    const { job, machine } = assignment;
    if (task.cause === 'done' && job.phase === 'accepted') {
      this.fleet.jobs.markDone(job, task.index);
      this.assignments.stop(assignment, 0, now);
    }
    return this.forgetIfSafe(machine, ref, job);
  }

  private unassignedTaskExited(
    machine: Machine,
    task: TaskStatus,
    job: JobState | undefined,
    ref: TaskRef,
  ): Order | null {
    if (task.cause === 'done' && job?.phase === 'accepted') {
      this.fleet.jobs.markDone(job, task.index);
    }
    return this.forgetIfSafe(machine, ref, job);
  }

  private applyState(assignment: Assignment, task: TaskStatus, now: number): void {
    assignment.inherited = false;
    if (assignment.reportedState !== task.state) this.fleet.jobs.countsChanged(assignment.job);
    assignment.reportedState = task.state;
    if (task.state !== 'running') return;
    if (assignment.runningSince === null) {
      assignment.runningSince = now;
      this.fleet.listener.taskRunning(assignment, now);
      assignment.job.replicas?.memberRunning(assignment, now);
    }
    this.fleet.failures.taskRunning(assignment, now);
  }

  private taskExited(
    assignment: Assignment,
    task: TaskStatus,
    ref: TaskRef,
    now: number,
  ): Order | null {
    const { job, machine } = assignment;
    const cause = task.cause ?? 'error';
    if (cause === 'done') {
      this.fleet.jobs.markDone(job, task.index);
      this.fleet.failures.taskCompleted(assignment, now);
    }
    this.assignments.end(assignment, cause, task.checkpointed, now);
    return this.forgetIfSafe(machine, ref, job);
  }

  /**
   * Returns the order to forget an exited attempt once its result is durable and the worker admits no start of the
   * attempt any more, of this term or an earlier one, otherwise null. A worker that has forgotten an attempt would start
   * it again.
   */
  private forgetIfSafe(machine: Machine, ref: TaskRef, job: JobState | undefined): Order | null {
    if (this.fencing.mayBeAdmitted(machine, ref)) {
      machine.retainedAttempts++;
      return null;
    }
    if (job && this.isCompletionUnrecorded(job, ref.index)) return null;
    return machine.termConfirmed ? forgetOrder(ref) : null;
  }

  /** Whether the task is done but a later leader would not know, as neither that nor the end of its job is recorded. */
  private isCompletionUnrecorded({ phase, done, spec }: JobState, index: number): boolean {
    if (phase !== 'accepted' || !done.has(index)) return false;
    const isAllDone = done.size === spec.tasks;
    return isAllDone || this.fleet.unrecordedChanges.doneTasksOf(spec.id).has(index);
  }

  /** Handles a task that is assigned to the machine and that the heartbeat does not list. */
  reconcileMissing(assignment: Assignment, heartbeat: Heartbeat, now: number): void {
    const { machine, reportedState, inherited, startSent, startAnswerSequence } = assignment;
    if (reportedState !== null) this.assignments.end(assignment, 'lost', false, now);
    else if (inherited) {
      // A start from an earlier term may still arrive until the worker has seen this term's fencing token.
      if (heartbeat.fencingToken >= this.fleet.term)
        this.assignments.end(assignment, 'lost', false, now);
    } else if (this.fencing.isUnacknowledged(machine, taskRef(assignment))) return;
    else if (startSent && startAnswerSequence === null) this.directStartFailed(assignment, now);
    else if (startAnswerSequence !== null && heartbeat.sequence > startAnswerSequence)
      this.missedStart(assignment, now);
  }

  /** Handles a direct start that was refused or is fenced off. */
  private directStartFailed(assignment: Assignment, now: number): void {
    if (assignment.stop !== null) {
      this.assignments.end(assignment, 'stopped', false, now);
      return;
    }
    assignment.startSent = false;
    this.fleet.machinesWithCommands.add(assignment.machine);
  }

  /**
   * Handles a start that a heartbeat answer carried without effect. The worker sends its next heartbeat only after it
   * has received the answer or stopped waiting for it, so the start did not arrive and no longer can.
   */
  private missedStart(assignment: Assignment, now: number): void {
    assignment.missedStarts++;
    if (assignment.stop === null) {
      if (assignment.missedStarts < MAX_MISSED_STARTS) return;
      assignment.machine.cordonedUntil = now + this.fleet.settings.leaseS;
    }
    this.assignments.end(assignment, 'lost', false, now);
  }
}
