/** Which changes of the fleet state go into the next transaction. */
import type { FleetState } from '#core';
import type { StateLimits, Term } from '#store';
import type { JobRecords } from './job-records.js';
import type { MachineRecords } from './machine-records.js';
import { RecordBatch } from './record-batch.js';
import type { RemovalMarker } from './removal-marker.js';

/** Share of a transaction that is kept for jobs, so that no number of machines holds up their ends. */
const MIN_JOB_SHARE = 1 / 3;
/** Share of a transaction that removes what is left of jobs that are over. */
const MAX_REMOVAL_SHARE = 1 / 4;

/** What a `BatchCollector` works on. */
export interface BatchCollectorOptions {
  fleet: FleetState;
  limits: StateLimits;
  term: Term;
  machineRecords: MachineRecords;
  jobRecords: JobRecords;
  removalMarker: RemovalMarker;
}

/**
 * Collects what is to be recorded. What may be deferred, that tasks have gone from machines and what is left of
 * ended jobs, is collected while the budget has changes to spare.
 */
export class BatchCollector {
  constructor(private readonly options: BatchCollectorOptions) {}

  /** Whether something is to be recorded that does not wait for spare changes. */
  get hasUrgentChanges(): boolean {
    return this.options.fleet.unrecorded.anyUrgent;
  }

  /** Whether something is to be recorded once there are changes to spare. */
  get hasDeferredChanges(): boolean {
    const { fleet, jobRecords } = this.options;
    return fleet.unrecorded.machines.size > 0 || jobRecords.obsoleteChunkCount > 0;
  }

  /** How many changes the next transaction is to have, if it may have as many. */
  countWantedChanges(includeDeferred: boolean): number {
    const { fleet, jobRecords } = this.options;
    const { urgentMachines, machines, jobs } = fleet.unrecorded;
    if (!includeDeferred) return urgentMachines.size + jobs.size;
    // One is for the removal marker.
    return machines.size + jobs.size + jobRecords.obsoleteChunkCount + 1;
  }

  /**
   * First what tasks and users wait for: starts by rank, and ends of jobs. That a task has gone from a machine
   * is recorded with the next start there, or while changes are to spare: until then a successor finds the
   * task absent as soon as it gets a heartbeat of the machine.
   */
  collect(maxChanges: number, includeDeferred: boolean): RecordBatch {
    const { fleet, limits, term, removalMarker } = this.options;
    const batch = new RecordBatch(term, removalMarker, limits, maxChanges);
    this.addJobs(batch, Math.ceil(maxChanges * MIN_JOB_SHARE));
    this.addMachines(batch, this.urgentMachines());
    this.addJobs(batch, maxChanges);
    if (includeDeferred) {
      this.addMachines(batch, [...fleet.unrecorded.machines]);
      this.addRemovals(batch);
    }
    return batch;
  }

  /** Those whose records starts wait for, the most urgent first. */
  private urgentMachines(): string[] {
    const namesWithRank = [...this.options.fleet.unrecorded.urgentMachines];
    return namesWithRank.sort(([, one], [, other]) => one - other).map(([name]) => name);
  }

  private addMachines(batch: RecordBatch, names: string[]): void {
    const { fleet, machineRecords } = this.options;
    for (const name of names) {
      const change = machineRecords.changeOf(name);
      if (change && !batch.add(change)) return;
      fleet.unrecorded.machineCollected(name);
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
    const { jobs } = fleet.unrecorded;
    for (const id of [...jobs]) {
      const job = fleet.jobs.get(id);
      const changes = job ? jobRecords.changesOf(job) : [];
      const isWithinLimit = changes.every((change) => batch.add(change, maxChanges));
      jobs.delete(id);
      if (isWithinLimit) continue;
      // Its turn comes after that of the others.
      jobs.add(id);
      return;
    }
  }
}
