/** Sums over assignments: per machine, per team and rank, and per job. */
import type { FleetData } from '../fleet-data.js';
import { addResources } from '../model/resources.js';
import { entryBytes } from '../model/machine-record-size.js';
import { type Assignment, assignmentsOf, type JobState } from '../model/entities.js';

/** Updates the sums when an assignment is added, removed or stopped, and when the rank of its job changes. */
export class AssignmentAccounting {
  constructor(private readonly fleet: FleetData) {}

  /** Counts an assignment that was added (1) or removed (-1). */
  count(assignment: Assignment, sign: 1 | -1, now: number): void {
    const { machine, job } = assignment;
    machine.assignmentVersion++;
    addResources(machine.used, job.spec, sign);
    machine.recordBytes += sign * entryBytes(assignment);
    this.fleet.machines.usageChanged(machine);
    this.countRank(assignment, sign);
    this.fleet.usage.count(assignment, sign, now);
    this.fleet.jobs.countsChanged(job);
  }

  /** Counts an assignment that is to stop. Must be called before the assignment's stop request is set. */
  countStopRequest(assignment: Assignment): void {
    const { machines } = this.fleet;
    if (isPersistentReplica(assignment)) machines.adjustStayingReplicas(assignment.machine, -1);
    machines.adjustStoppingTasks(assignment.machine, 1);
  }

  /** Changes the effective rank of the job, and counts its assignments under the new rank. */
  changeRank(job: JobState, rank: number, now: number): void {
    const { jobs, machines } = this.fleet;
    for (const each of assignmentsOf(job)) this.countRank(each, -1);
    jobs.changeRank(job, rank);
    for (const each of assignmentsOf(job)) {
      const { machine } = each;
      this.countRank(each, 1);
      machine.assignmentVersion++;
      machines.usageChanged(machine);
      if (job.isBestEffort && machine.firmTasks === 0) machine.idleSince = now;
    }
  }

  /** Updates the sums that depend on the effective rank of the assignment's job. */
  private countRank(assignment: Assignment, sign: 1 | -1): void {
    const { machine, job } = assignment;
    if (job.isBestEffort) addResources(machine.usedBestEffort, job.spec, sign);
    else machine.firmTasks += sign;
    if (isPersistentReplica(assignment)) this.fleet.machines.adjustStayingReplicas(machine, sign);
    this.fleet.usage.countByRank(assignment, sign);
  }
}

/** Whether the assignment is a replica that keeps its machine from becoming empty until something stops it. */
function isPersistentReplica({ job, stop }: Assignment): boolean {
  return stop === null && job.spec.kind === 'service' && !job.isBestEffort;
}
