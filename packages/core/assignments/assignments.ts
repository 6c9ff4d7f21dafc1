/** The life cycle of assignments: a task is assigned to a machine, is stopped there, and ends. */
import { taskName } from '#wire';
import type { FleetData } from '../fleet-data.js';
import { dominantShare } from '../model/resources.js';
import type { EndCause } from '../model/end-cause.js';
import { type Assignment, assignmentsOf, type JobState, type Machine } from '../model/entities.js';
import type { AssignmentOrigin } from '../model/replica-shape.js';
import { AssignmentAccounting } from './assignment-accounting.js';
import { AttemptNumbers } from './attempt-numbers.js';
import { recordImageUse } from './image-cache.js';
import { type AssignmentOptions, newAssignment } from './new-assignment.js';

/**
 * Assigns tasks to machines, stops them, and removes their assignments once they are proven gone. At most one
 * assignment of a task is made at a time (docs/safety.md, point 5). Times are seconds of the monotonic clock.
 */
export class Assignments {
  private readonly attempts: AttemptNumbers;
  private readonly accounting: AssignmentAccounting;

  constructor(private readonly fleet: FleetData) {
    this.attempts = new AttemptNumbers(fleet.term);
    this.accounting = new AssignmentAccounting(fleet);
  }

  /** Returns an attempt number that no other call in any term returns. */
  newAttempt(): number {
    return this.attempts.next();
  }

  /** Assigns a waiting task to a machine. Throws if the task does not wait, or may still be on another machine. */
  assign(job: JobState, index: number, machine: Machine, attempt: number, now: number): Assignment {
    if (
      job.assignments.has(index) ||
      job.done.has(index) ||
      job.phase !== 'accepted' ||
      job.hasOpenDependencies
    ) {
      throw new Error(`task ${job.spec.id}/${index} does not wait for a machine`);
    }
    const assignment = this.add({ job, index, machine, attempt }, 'placed', now);
    this.fleet.unrecordedChanges.markMachineUrgent(machine.name, job.rank);
    this.fleet.jobs.dequeueIfNoTaskWaits(job);
    return assignment;
  }

  /** Adds an assignment that was read from a record of an earlier term. */
  inherit(job: JobState, index: number, machine: Machine, attempt: number, now: number): void {
    const assignment = this.add({ job, index, machine, attempt }, 'inherited', now);
    // A task whose job has open dependencies was started by a version that does not support dependencies.
    if (job.phase !== 'accepted' || job.hasOpenDependencies) this.stop(assignment, 0, now);
    this.fleet.jobs.dequeueIfNoTaskWaits(job);
  }

  /**
   * Adds an assignment for a task that a heartbeat lists though no record names it, and stops the task. The assignment
   * is kept until the task is proven gone.
   */
  adoptUnrecorded(
    job: JobState,
    index: number,
    machine: Machine,
    attempt: number,
    now: number,
  ): Assignment {
    const assignment = this.add({ job, index, machine, attempt }, 'unrecorded', now);
    this.beginStop(assignment, 0, now);
    return assignment;
  }

  private add(options: AssignmentOptions, origin: AssignmentOrigin, now: number): Assignment {
    const { job, index, machine } = options;
    const { jobs, machines, holds, machinesWithCommands } = this.fleet;
    const assignment = newAssignment(options, dominantShare(job.spec, machines.totals), now);
    addToJob(assignment);
    machine.tasks.set(taskName(job.spec.id, index), assignment);
    recordImageUse(machine, job.spec, machines.typeOf(machine)?.cacheGb ?? Infinity);
    machinesWithCommands.add(machine);
    holds.releaseIfHeldFor(machine, job);
    this.accounting.count(assignment, 1, now);
    jobs.waiting.assignmentsChanged(job);
    if (origin === 'inherited') {
      assignment.recorded = true;
      assignment.inherited = true;
    }
    job.replicas?.memberAssigned(assignment, origin, now);
    return assignment;
  }

  /** Changes the effective rank of the job and of its assignments. */
  changeRank(job: JobState, rank: number, now: number): void {
    this.accounting.changeRank(job, rank, now);
  }

  /** Marks the assignment as durable in its machine's record. */
  markRecorded(assignment: Assignment, now: number): void {
    assignment.recorded = true;
    assignment.job.replicas?.memberRecorded(assignment, now);
  }

  /** Asks the task to stop within `graceS` seconds. Its assignment is kept until the task is proven gone. */
  stop(assignment: Assignment, graceS: number, now: number): void {
    if (this.endIfUnsent(assignment, now)) return;
    const { stop } = assignment;
    if (stop === null) this.beginStop(assignment, graceS, now);
    else if (graceS < stop.graceS) assignment.stop = { ...stop, graceS, sentDirectly: false };
    this.fleet.machinesWithCommands.add(assignment.machine);
  }

  private beginStop(assignment: Assignment, graceS: number, now: number): void {
    this.accounting.countStopRequest(assignment);
    assignment.stop = { graceS, sentDirectly: false };
    assignment.job.replicas?.memberStopping(assignment, now);
  }

  /** Stops a task with time to write a checkpoint. A gang is stopped as a whole. */
  stopGracefully(assignment: Assignment, now: number): void {
    const { spec } = assignment.job;
    const graceS = spec.checkpointS > 0 ? spec.saveS + this.fleet.settings.heartbeatIntervalS : 0;
    const toStop = spec.kind === 'gang' ? [...assignmentsOf(assignment.job)] : [assignment];
    for (const each of toStop) this.stop(each, graceS, now);
  }

  /**
   * Ends the assignment if its start was never sent to the worker; the start then never will be sent. Returns whether
   * the assignment was ended.
   */
  endIfUnsent(assignment: Assignment, now: number): boolean {
    const { startSent, inherited, reportedState } = assignment;
    if (startSent || inherited || reportedState !== null) return false;
    this.end(assignment, 'stopped', false, now);
    return true;
  }

  /** Ends all assignments on a machine whose tasks are all proven gone. */
  endAllOn(machine: Machine, now: number): void {
    for (const assignment of [...machine.tasks.values()]) this.end(assignment, 'lost', false, now);
  }

  /** Ends an assignment whose task is proven gone from its machine (docs/safety.md, point 5). */
  end(assignment: Assignment, cause: EndCause, checkpointed: boolean, now: number): void {
    const { job, machine } = assignment;
    const { jobs, unrecordedChanges, listener } = this.fleet;
    if (!this.removeFromMachine(assignment)) return;
    removeFromJob(assignment);
    this.accounting.count(assignment, -1, now);
    if (!job.isBestEffort && machine.firmTasks === 0) machine.idleSince = now;
    unrecordedChanges.machines.add(machine.name);
    this.requeueTask(assignment, cause, now);
    job.replicas?.memberEnded(assignment, cause, now);
    // The job joins the queue after all charges for the end, because the queues are ordered by received service.
    jobs.enqueueIfTasksWait(job, now);
    listener.taskEnded({ assignment, cause, checkpointed }, now);
  }

  /** Removes the assignment from its machine. Returns false if it had already ended. */
  private removeFromMachine(assignment: Assignment): boolean {
    const { job, index, machine, stop } = assignment;
    const name = taskName(job.spec.id, index);
    if (machine.tasks.get(name) !== assignment) return false;
    machine.tasks.delete(name);
    if (stop !== null) this.fleet.machines.adjustStoppingTasks(machine, -1);
    return true;
  }

  /** Lets the task of an ended assignment wait again, unless the task is done or its job was done or cancelled. */
  private requeueTask(assignment: Assignment, cause: EndCause, now: number): void {
    const { job, index } = assignment;
    if (job.phase !== 'accepted' || job.done.has(index)) return;
    if (index < job.scanFrom) job.requeuedTasks.add(index);
    this.fleet.failures.taskEnded(assignment, cause, now);
    if (job.spec.kind === 'gang') this.stopRestOfAttempt(assignment, now);
  }

  /**
   * Stops the rest of a gang's attempt after one of its tasks ended; the next attempt resumes from the checkpoint. The
   * tasks of a gang find each other by attempt, so the end of a task of an older attempt does not affect a newer one.
   */
  private stopRestOfAttempt({ job, attempt }: Assignment, now: number): void {
    for (const peer of assignmentsOf(job)) {
      if (peer.attempt === attempt && peer.stop === null) this.stop(peer, 0, now);
    }
  }
}

function addToJob(assignment: Assignment): void {
  const { job, index } = assignment;
  const others = job.assignments.get(index);
  if (others) others.push(assignment);
  else job.assignments.set(index, [assignment]);
}

function removeFromJob(assignment: Assignment): void {
  const { assignments } = assignment.job;
  const rest = (assignments.get(assignment.index) ?? []).filter((other) => other !== assignment);
  if (rest.length > 0) assignments.set(assignment.index, rest);
  else assignments.delete(assignment.index);
}
