/** What is counted by assignments: per machine, per team and rank, and per job. */
import type { FleetData } from '../fleet-data.js';
import { addAmounts } from '../model/amounts.js';
import { entryBytes } from '../model/machine-record-size.js';
import { type Assignment, assignmentsOf, type JobState } from '../model/entities.js';

/** Keeps the sums over assignments current as these come, go, stop or change their rank. */
export class AssignmentAccounting {
  constructor(private readonly fleet: FleetData) {}

  /** The assignment has come (1) or gone (-1). */
  count(assignment: Assignment, sign: 1 | -1, now: number): void {
    const { machine, job } = assignment;
    machine.assignmentVersion++;
    addAmounts(machine.used, job.spec, sign);
    machine.recordBytes += sign * entryBytes(assignment);
    this.fleet.machines.useChanged(machine);
    this.countRank(assignment, sign);
    this.fleet.usage.count(assignment, sign, now);
    this.fleet.jobs.countsChanged(job);
  }

  /** The assignment is to stop; called before its stop request is set. */
  countStopRequest(assignment: Assignment): void {
    const { machines } = this.fleet;
    if (isPersistentReplica(assignment)) machines.countReplica(assignment.machine, -1);
    machines.countStop(assignment.machine, 1);
  }

  /** Another rank counts for the job from now on, also for what it has running. */
  changeRank(job: JobState, rank: number, now: number): void {
    const { jobs, machines } = this.fleet;
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

  /** What depends on the rank that counts for the assignment's job. */
  private countRank(assignment: Assignment, sign: 1 | -1): void {
    const { machine, job } = assignment;
    if (job.isBestEffort) addAmounts(machine.usedBestEffort, job.spec, sign);
    else machine.firmTasks += sign;
    if (isPersistentReplica(assignment)) this.fleet.machines.countReplica(machine, sign);
    this.fleet.usage.countRank(assignment, sign);
  }
}

/** Whether it is a replica that keeps its machine from becoming empty by itself. */
function isPersistentReplica({ job, stop }: Assignment): boolean {
  return stop === null && job.spec.kind === 'service' && !job.isBestEffort;
}
