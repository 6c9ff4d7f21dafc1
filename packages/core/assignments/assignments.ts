/** The life of assignments: how a task comes to a machine, is stopped there, and gives its place up. */
import { taskName } from '#wire';
import type { FleetData } from '../fleet-data.js';
import { dominantShare } from '../model/amounts.js';
import type { EndCause } from '../model/end-cause.js';
import { type Assignment, assignmentsOf, type JobState, type Machine } from '../model/entities.js';
import type { PlaceOrigin } from '../model/replica-shape.js';
import { AssignmentAccounting } from './assignment-accounting.js';
import { AttemptNumbers } from './attempt-numbers.js';
import { recordImageUse } from './image-cache.js';
import { type AssignmentOptions, newAssignment } from './new-assignment.js';

/**
 * Gives tasks to machines, stops them, and gives their places up once they are proven gone. At most one
 * assignment of a task is made at a time (docs/safety.md, point 5). Times are seconds of the steady clock.
 */
export class Assignments {
  private readonly attempts: AttemptNumbers;
  private readonly accounting: AssignmentAccounting;

  constructor(private readonly fleet: FleetData) {
    this.attempts = new AttemptNumbers(fleet.term);
    this.accounting = new AssignmentAccounting(fleet);
  }

  /** An attempt number that no other start of any term has. */
  newAttempt(): number {
    return this.attempts.next();
  }

  /** Gives a waiting task to a machine; throws if it may still be elsewhere. */
  assign(job: JobState, index: number, machine: Machine, attempt: number, now: number): Assignment {
    if (
      job.assignments.has(index) ||
      job.done.has(index) ||
      job.phase !== 'accepted' ||
      job.hasOpenDependencies
    ) {
      throw new Error(`${job.spec.id}/${index} does not wait for a place`);
    }
    const assignment = this.add({ job, index, machine, attempt }, 'placed', now);
    this.fleet.unrecorded.markMachineUrgent(machine.name, job.rank);
    this.fleet.jobs.leaveQueueIfNoneWaits(job);
    return assignment;
  }

  /** An assignment found in the record that an earlier term left. */
  inherit(job: JobState, index: number, machine: Machine, attempt: number, now: number): void {
    const assignment = this.add({ job, index, machine, attempt }, 'inherited', now);
    // One whose job has open dependencies was begun by a version that knows nothing of these.
    if (job.phase !== 'accepted' || job.hasOpenDependencies) this.stop(assignment, 0, now);
    this.fleet.jobs.leaveQueueIfNoneWaits(job);
  }

  /** A task that a heartbeat lists though nothing is recorded; it holds its place until it is gone. */
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

  private add(options: AssignmentOptions, origin: PlaceOrigin, now: number): Assignment {
    const { job, index, machine } = options;
    const { jobs, machines, holds, machinesWithCommands } = this.fleet;
    const assignment = newAssignment(options, dominantShare(job.spec, machines.totals), now);
    addToJob(assignment);
    machine.tasks.set(taskName(job.spec.id, index), assignment);
    recordImageUse(machine, job.spec, machines.typeOf(machine)?.cacheGb ?? Infinity);
    machinesWithCommands.add(machine);
    holds.releaseIfHeldFor(machine, job);
    this.accounting.count(assignment, 1, now);
    jobs.waiting.placesChanged(job);
    if (origin === 'inherited') {
      assignment.recorded = true;
      assignment.inherited = true;
    }
    job.replicas?.placeAdded(assignment, origin, now);
    return assignment;
  }

  /** Another rank counts for the job from now on, also for what it has running. */
  changeRank(job: JobState, rank: number, now: number): void {
    this.accounting.changeRank(job, rank, now);
  }

  /** The place is durable in its machine's record. */
  markRecorded(assignment: Assignment, now: number): void {
    assignment.recorded = true;
    assignment.job.replicas?.placeRecorded(assignment, now);
  }

  /** Asks the task to stop within `graceS` seconds; it keeps its place until it is proven gone. */
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

  /** Stops a task so that it can write a checkpoint; a gang stops as a whole. */
  stopGracefully(assignment: Assignment, now: number): void {
    const { spec } = assignment.job;
    const graceS = spec.checkpointS > 0 ? spec.saveS + this.fleet.settings.heartbeatIntervalS : 0;
    const toStop = spec.kind === 'gang' ? [...assignmentsOf(assignment.job)] : [assignment];
    for (const each of toStop) this.stop(each, graceS, now);
  }

  /** Ends an assignment whose start was never sent to the worker, and so never will be. */
  endIfUnsent(assignment: Assignment, now: number): boolean {
    const { startSent, inherited, reportedState } = assignment;
    if (startSent || inherited || reportedState !== null) return false;
    this.end(assignment, 'stopped', false, now);
    return true;
  }

  /** Everything that was on the machine is gone. */
  endAllOn(machine: Machine, now: number): void {
    for (const assignment of [...machine.tasks.values()]) this.end(assignment, 'lost', false, now);
  }

  /** The task is proven gone from its machine (docs/safety.md, point 5). */
  end(assignment: Assignment, cause: EndCause, checkpointed: boolean, now: number): void {
    const { job, machine } = assignment;
    const { jobs, unrecorded, listener } = this.fleet;
    if (!this.removeFromMachine(assignment)) return;
    removeFromJob(assignment);
    this.accounting.count(assignment, -1, now);
    if (!job.isBestEffort && machine.firmTasks === 0) machine.idleSince = now;
    unrecorded.machines.add(machine.name);
    this.requeueTask(assignment, cause, now);
    job.replicas?.placeEnded(assignment, cause, now);
    // After all that the end is charged for: the queues are kept in the order of service.
    jobs.joinQueueIfAnyWaits(job, now);
    listener.taskEnded({ assignment, cause, checkpointed }, now);
  }

  /** False if the assignment has ended before. */
  private removeFromMachine(assignment: Assignment): boolean {
    const { job, index, machine, stop } = assignment;
    const name = taskName(job.spec.id, index);
    if (machine.tasks.get(name) !== assignment) return false;
    machine.tasks.delete(name);
    if (stop !== null) this.fleet.machines.countStop(machine, -1);
    return true;
  }

  /** A task that is not done waits again, unless its job is over. */
  private requeueTask(assignment: Assignment, cause: EndCause, now: number): void {
    const { job, index } = assignment;
    if (job.phase !== 'accepted' || job.done.has(index)) return;
    if (index < job.scanFrom) job.returnedTasks.add(index);
    this.fleet.failures.taskEnded(assignment, cause, now);
    if (job.spec.kind === 'gang') this.stopRestOfAttempt(assignment, now);
  }

  /**
   * A gang that lost a task ends as a whole; the next attempt goes on from its checkpoint. The tasks of a
   * gang find each other by attempt, so the end of an older attempt's task does not touch a newer one.
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
