/** Selects the record changes of the next transaction. */
import type { FleetState } from '#core';
import type { StateLimits, Term } from '#store';
import type { JobRecords } from './job-records.js';
import type { MachineRecords } from './machine-records.js';
import { RecordBatch } from './record-batch.js';
import type { RemovalMarker } from './removal-marker.js';

/** Share of a transaction that is reserved for jobs, so that machine records cannot delay the recording of job ends. */
const MIN_JOB_SHARE = 1 / 3;
/** Largest share of a transaction that may delete progress records of ended jobs. */
const MAX_REMOVAL_SHARE = 1 / 4;

/** Dependencies of a `BatchCollector`. */
export interface BatchCollectorOptions {
  fleet: FleetState;
  limits: StateLimits;
  term: Term;
  machineRecords: MachineRecords;
  jobRecords: JobRecords;
  removalMarker: RemovalMarker;
}

/**
 * Collects unrecorded changes of the fleet state into batches. Two kinds of changes can be deferred until the change
 * budget has spare capacity: removing ended tasks from machine records, and deleting progress records of ended jobs.
 */
export class BatchCollector {
  constructor(private readonly options: BatchCollectorOptions) {}

  /** Whether there are changes to record that must not wait for spare budget. */
  get hasUrgentChanges(): boolean {
    return this.options.fleet.unrecordedChanges.hasUrgentChanges;
  }

  /** Whether there are changes to record once the budget has spare capacity. */
  get hasDeferredChanges(): boolean {
    const { fleet, jobRecords } = this.options;
    return fleet.unrecordedChanges.machines.size > 0 || jobRecords.obsoleteChunkCount > 0;
  }

  /** Counts the changes that are waiting for the next transaction, regardless of its limits. */
  countWantedChanges(includeDeferred: boolean): number {
    const { fleet, jobRecords } = this.options;
    const { urgentMachines, machines, jobs } = fleet.unrecordedChanges;
    if (!includeDeferred) return urgentMachines.size + jobs.size;
    // The 1 is the removal marker, which every transaction that deletes records must also change.
    return machines.size + jobs.size + jobRecords.obsoleteChunkCount + 1;
  }

  /**
   * Collects urgent changes first: task starts by rank, and ends of jobs. The end of a task on a machine is recorded
   * with the next start on that machine, or when the budget has spare capacity. Until then the machine's record still
   * names the task, and a new leader notices that the task is gone with the machine's first heartbeat.
   */
  collect(maxChanges: number, includeDeferred: boolean): RecordBatch {
    const { fleet, limits, term, removalMarker } = this.options;
    const batch = new RecordBatch(term, removalMarker, limits, maxChanges);
    this.addJobs(batch, Math.ceil(maxChanges * MIN_JOB_SHARE));
    this.addMachines(batch, this.urgentMachines());
    this.addJobs(batch, maxChanges);
    if (includeDeferred) {
      this.addMachines(batch, [...fleet.unrecordedChanges.machines]);
      this.addRemovals(batch);
    }
    return batch;
  }

  /** Names of the machines whose records must be written before waiting tasks can start, the most urgent first. */
  private urgentMachines(): string[] {
    const namesWithRank = [...this.options.fleet.unrecordedChanges.urgentMachines];
    return namesWithRank.sort(([, one], [, other]) => one - other).map(([name]) => name);
  }

  private addMachines(batch: RecordBatch, names: string[]): void {
    const { fleet, machineRecords } = this.options;
    for (const name of names) {
      const change = machineRecords.changeOf(name);
      if (change && !batch.add(change)) return;
      fleet.unrecordedChanges.machineCollected(name);
    }
  }

  private addRemovals(batch: RecordBatch): void {
    const removalLimit = batch.changes.length + Math.ceil(batch.maxChanges * MAX_REMOVAL_SHARE);
    const maxChanges = Math.min(removalLimit, batch.maxChanges);
    for (const removal of this.options.jobRecords.obsoleteChunkDeletions()) {
      if (!batch.add(removal, maxChanges)) return;
    }
  }

  private addJobs(batch: RecordBatch, maxChanges: number): void {
    const { fleet, jobRecords } = this.options;
    const { jobs } = fleet.unrecordedChanges;
    for (const id of [...jobs]) {
      const job = fleet.jobs.get(id);
      const changes = job ? jobRecords.changesOf(job) : [];
      const isWithinLimit = changes.every((change) => batch.add(change, maxChanges));
      jobs.delete(id);
      if (isWithinLimit) continue;
      // Moves the job to the end of the queue.
      jobs.add(id);
      return;
    }
  }
}
