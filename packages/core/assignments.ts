import { taskName } from '#wire';
import { addAmounts, dominantShare } from './model/amounts.js';
import type { FleetTables } from './fleet-tables.js';
import { useImage } from './model/image-cache.js';
import { entryBytes } from './model/machine-record-size.js';
import type { EndCause } from './model/end-cause.js';
import { Assignment, assignmentsOf, JobState, Machine } from './model/model.js';

/** Attempt numbers that one term may use. */
const ATTEMPTS_PER_TERM = 65_536;

/**
 * Gives tasks to machines, stops them, and gives their places up once they are proven gone. At most one
 * assignment of a task is made at a time (docs/safety.md, point 5).
 */
export class Assignments {
  private attempts = 0;

  constructor(private readonly tables: FleetTables) {}

  /** An attempt number that no other start of any term has. */
  newAttempt(): number {
    // A transaction raises the revision, and with it every later term, by one, and can record far
    // fewer than 65,536 assignments: so numbers never repeat, also across terms.
    return this.tables.term * ATTEMPTS_PER_TERM + this.attempts++;
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
    const assignment = this.add(job, index, machine, attempt, now);
    job.replicas?.placeAdded(assignment, 'placed', now);
    this.tables.unrecorded.markMachineUrgent(machine.name, job.rank);
    this.tables.jobs.leaveQueueIfNoneWaits(job);
    return assignment;
  }

  /** An assignment found in the record that an earlier term left. */
  inherit(job: JobState, index: number, machine: Machine, attempt: number, now: number): void {
    const assignment = this.add(job, index, machine, attempt, now);
    assignment.recorded = true;
    assignment.inherited = true;
    job.replicas?.placeAdded(assignment, 'inherited', now);
    // One whose job awaits others was begun by a version that knows nothing of that.
    if (job.phase !== 'accepted' || job.hasOpenDependencies) this.stop(assignment, 0, now);
    this.tables.jobs.leaveQueueIfNoneWaits(job);
  }

  /** A task that a worker reports though nothing is recorded; it holds its place until it is gone. */
  adoptToStop(
    job: JobState,
    index: number,
    machine: Machine,
    attempt: number,
    now: number,
  ): Assignment {
    const assignment = this.add(job, index, machine, attempt, now);
    job.replicas?.placeAdded(assignment, 'unrecorded', now);
    this.beginStop(assignment, 0, now);
    return assignment;
  }

  private add(
    job: JobState,
    index: number,
    machine: Machine,
    attempt: number,
    now: number,
  ): Assignment {
    const { machines, holds, machinesWithCommands } = this.tables;
    const share = dominantShare(job.spec, machines.totals);
    const assignment = newAssignment(job, index, machine, attempt, share, now);
    const others = job.assignments.get(index);
    if (others) others.push(assignment);
    else job.assignments.set(index, [assignment]);
    machine.tasks.set(taskName(job.spec.id, index), assignment);
    useImage(machine, job.spec, machines.typeOf(machine)?.cacheGb ?? Infinity);
    machinesWithCommands.add(machine);
    holds.releaseIfHeldFor(machine, job);
    this.count(assignment, 1, now);
    this.tables.jobs.waiting.placesChanged(job);
    return assignment;
  }

  private count(assignment: Assignment, sign: 1 | -1, now: number): void {
    const { machine, job } = assignment;
    machine.assignmentVersion++;
    addAmounts(machine.used, job.spec, sign);
    machine.recordBytes += sign * entryBytes(assignment);
    this.tables.machines.useChanged(machine);
    this.countRank(assignment, sign);
    this.tables.usage.count(assignment, sign, now);
    this.tables.jobs.countsChanged(job);
  }

  /** What depends on the rank that counts for the assignment's job. */
  private countRank(assignment: Assignment, sign: 1 | -1): void {
    const { machine, job } = assignment;
    if (job.isBestEffort) addAmounts(machine.usedBestEffort, job.spec, sign);
    else machine.firmTasks += sign;
    if (stays(assignment)) this.tables.machines.countReplica(machine, sign);
    this.tables.usage.countRank(assignment, sign);
  }

  /** Another rank counts for the job from now on, also for what it has running. */
  changeRank(job: JobState, rank: number, now: number): void {
    const { jobs, machines } = this.tables;
    for (const each of assignmentsOf(job)) this.countRank(each, -1);
    jobs.changeRank(job, rank);
    for (const each of assignmentsOf(job)) {
      const { machine } = each;
      this.countRank(each, 1);
      machine.assignmentVersion++;
      machines.useChanged(machine);
      if (job.isBestEffort && machine.firmTasks === 0) machine.idleSince = now;
    }
  }

  /** Asks for an end of the task; it keeps its place until it is proven gone. */
  stop(assignment: Assignment, graceS: number, now: number): void {
    if (this.endIfUnsent(assignment, now)) return;
    const { stop } = assignment;
    if (stop === null) this.beginStop(assignment, graceS, now);
    else if (graceS < stop.graceS) assignment.stop = { ...stop, graceS, sentDirectly: false };
    this.tables.machinesWithCommands.add(assignment.machine);
  }

  private beginStop(assignment: Assignment, graceS: number, now: number): void {
    const { machines } = this.tables;
    if (stays(assignment)) machines.countReplica(assignment.machine, -1);
    assignment.stop = { graceS, sentDirectly: false };
    machines.countStop(assignment.machine, 1);
    assignment.job.replicas?.memberStopping(assignment, now);
  }

  /** The place is durable in its machine's record. */
  recorded(assignment: Assignment, now: number): void {
    assignment.recorded = true;
    assignment.job.replicas?.placeRecorded(assignment, now);
  }

  /** Ends an assignment whose start was never sent to the worker, and so never will be. */
  endIfUnsent(assignment: Assignment, now: number): boolean {
    const { startSent, inherited, reportedState } = assignment;
    if (startSent || inherited || reportedState !== null) return false;
    this.end(assignment, 'stopped', false, now);
    return true;
  }

  /** Stops a task so that what can be saved is saved; a gang stops as a whole. */
  stopGracefully(assignment: Assignment, now: number): void {
    const { spec } = assignment.job;
    const graceS = spec.checkpointS > 0 ? spec.saveS + this.tables.settings.heartbeatIntervalS : 0;
    const stopped = spec.kind === 'gang' ? [...assignmentsOf(assignment.job)] : [assignment];
    for (const each of stopped) this.stop(each, graceS, now);
  }

  /** The task is proven gone from its machine (docs/safety.md, point 5). */
  end(assignment: Assignment, cause: EndCause, checkpointed: boolean, now: number): void {
    const { job, index, machine } = assignment;
    const { jobs, unrecorded, listener, failures } = this.tables;
    const name = taskName(job.spec.id, index);
    if (machine.tasks.get(name) !== assignment) return;
    machine.tasks.delete(name);
    if (assignment.stop !== null) this.tables.machines.countStop(machine, -1);
    removeFromJob(assignment);
    this.count(assignment, -1, now);
    if (!job.isBestEffort && machine.firmTasks === 0) machine.idleSince = now;
    unrecorded.machines.add(machine.name);
    if (job.phase === 'accepted' && !job.done.has(index)) {
      if (index < job.scanFrom) job.returnedTasks.add(index);
      failures.taskEnded(assignment, cause, now);
      if (job.spec.kind === 'gang') this.stopRestOfAttempt(assignment, now);
    }
    job.replicas?.placeEnded(assignment, cause, now);
    // After all that the end is charged for: the queues are kept in the order of service.
    jobs.joinQueueIfAnyWaits(job, now);
    listener.taskEnded({ assignment, cause, checkpointed }, now);
  }

  /** Everything that was on the machine is gone. */
  endAllOn(machine: Machine, now: number): void {
    for (const assignment of [...machine.tasks.values()]) this.end(assignment, 'lost', false, now);
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

function newAssignment(
  job: JobState,
  index: number,
  machine: Machine,
  attempt: number,
  share: number,
  now: number,
): Assignment {
  return {
    job,
    index,
    attempt,
    machine,
    recorded: false,
    inherited: false,
    startSent: false,
    startAnswerSequence: null,
    missedStarts: 0,
    reportedState: null,
    stop: null,
    share,
    assignedAt: now,
    runningSince: null,
  };
}

/** Whether it is a replica that keeps its machine from becoming empty by itself. */
function stays({ job, stop }: Assignment): boolean {
  return stop === null && job.spec.kind === 'service' && !job.isBestEffort;
}

function removeFromJob(assignment: Assignment): void {
  const { assignments } = assignment.job;
  const rest = (assignments.get(assignment.index) ?? []).filter((other) => other !== assignment);
  if (rest.length > 0) assignments.set(assignment.index, rest);
  else assignments.delete(assignment.index);
}
