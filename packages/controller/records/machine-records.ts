/** Builds the changes of machine records. */
import type { Assignment, FleetState, Machine } from '#core';
import { jobKey, MACHINES_PREFIX, type MachineRecord, type StateLimits } from '#store';
import type { Clock, Condition } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import { RecordBatch } from './record-batch.js';
import type { RecordChange } from './record-change.js';

/** Dependencies of `MachineRecords`. */
export interface MachineRecordsOptions {
  clock: Pick<Clock, 'now'>;
  fleet: FleetState;
  jobs: JobTable;
  limits: StateLimits;
}

/** Assignments that a machine's record may list now. */
interface RecordableAssignments {
  assignments: Assignment[];
  /** Conditions on the jobs whose tasks the record lists for the first time. */
  guards: Condition[];
  /** Whether `assignments` holds all assignments of the machine. */
  isComplete: boolean;
}

/** Records machines and the tasks that are assigned to them. */
export class MachineRecords {
  /** Versions of the existing records, by machine name. */
  private readonly versions = new Map<string, number>();

  constructor(private readonly options: MachineRecordsOptions) {}

  /** Sets the version of a machine's record that an earlier term wrote. */
  restore(name: string, version: number): void {
    this.versions.set(name, version);
  }

  /** The unrecorded change of a machine; null if there is none. */
  changeOf(name: string): RecordChange | null {
    const machine = this.options.fleet.machines.get(name);
    return machine ? this.createPut(machine) : this.createDeletion(name);
  }

  private createDeletion(name: string): RecordChange | null {
    const version = this.versionOf(name);
    if (version === 0) return null;
    const key = MACHINES_PREFIX + name;
    const onDurable = () => {
      this.versions.delete(name);
    };
    return {
      key,
      version,
      change: { delete: key },
      onDurable,
      onNotApplied: this.createRetry(name),
    };
  }

  private createPut(machine: Machine): RecordChange | null {
    const { fleet, clock, limits } = this.options;
    const { name } = machine;
    const version = this.versionOf(name);
    if (machine.tasks.size === 0 && version === 0) return null;
    // An older version of the software may have recorded more than the present limit allows. The record keeps
    // listing ended tasks until enough tasks have left the machine.
    if (machine.recordBytes > limits.valueBytes) return null;
    const { assignments, guards, isComplete } = this.selectRecordable(machine);
    const onNotApplied = this.createRetry(name);
    const onDurable = (revision: number) => {
      this.versions.set(name, revision);
      const now = clock.now();
      for (const assignment of assignments) fleet.assignments.markRecorded(assignment, now);
      fleet.fencing.fenceRecorded(machine);
      if (!isComplete) onNotApplied();
    };
    const key = MACHINES_PREFIX + name;
    const change = { put: key, value: encodeMachine(machine, assignments) };
    return { key, version, change, guards, onDurable, onNotApplied };
  }

  /** Version of the machine's record, 0 if there is none. */
  private versionOf(name: string): number {
    return this.versions.get(name) ?? 0;
  }

  /** Returns a callback that marks the machine as unrecorded again, with the urgency that it has now. */
  private createRetry(name: string): () => void {
    const { unrecordedChanges } = this.options.fleet;
    const rank = unrecordedChanges.urgentMachines.get(name);
    return () => {
      if (rank === undefined) unrecordedChanges.machines.add(name);
      else unrecordedChanges.markMachineUrgent(name, rank);
    };
  }

  /**
   * Selects the assignments that the machine's record may list. A task may start once a record that lists it is
   * durable. The record must therefore not become durable if the task's job was cancelled: each new task needs a
   * condition on its job, and the number of conditions in a transaction is limited.
   */
  private selectRecordable(machine: Machine): RecordableAssignments {
    const { jobs, limits } = this.options;
    const maxGuards = RecordBatch.maxGuards(limits);
    const guards = new Map<string, Condition>();
    const assignments: Assignment[] = [];
    for (const assignment of machine.tasks.values()) {
      const { id } = assignment.job.spec;
      const needsGuard = !assignment.recorded && assignment.stop === null;
      if (needsGuard && !guards.has(id)) {
        if (guards.size === maxGuards) continue;
        guards.set(id, { key: jobKey(id), version: jobs.get(id)?.version ?? 0 });
      }
      assignments.push(assignment);
    }
    const isComplete = assignments.length === machine.tasks.size;
    return { assignments, guards: [...guards.values()], isComplete };
  }
}

function encodeMachine(machine: Machine, assignments: Assignment[]): MachineRecord {
  return {
    addr: machine.addr,
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    tasks: assignments.map(({ job, index, attempt }) => [job.spec.id, index, attempt]),
  };
}
