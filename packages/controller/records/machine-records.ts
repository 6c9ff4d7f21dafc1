/** The records of machines. */
import type { Assignment, FleetState, Machine } from '#core';
import { jobKey, MACHINES, type MachineRecord, type StateLimits } from '#store';
import type { Clock, Condition } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import { RecordBatch } from './record-batch.js';
import type { RecordChange } from './record-change.js';

/** What `MachineRecords` works on. */
export interface MachineRecordsOptions {
  clock: Pick<Clock, 'now'>;
  fleet: FleetState;
  jobs: JobTable;
  limits: StateLimits;
}

/** What a machine's record may name now. */
interface RecordableAssignments {
  assignments: Assignment[];
  /** Conditions on the jobs of tasks that the record names for the first time. */
  guards: Condition[];
  /** Whether these are all assignments of the machine. */
  isComplete: boolean;
}

/** The records of machines and what is assigned to them. */
export class MachineRecords {
  /** By name of the machine, as far as recorded. */
  private readonly versions = new Map<string, number>();

  constructor(private readonly options: MachineRecordsOptions) {}

  /** Starts from the version of a machine's record that an earlier term left. */
  restore(name: string, version: number): void {
    this.versions.set(name, version);
  }

  /** What is to be recorded of a machine now; null if nothing is. */
  changeOf(name: string): RecordChange | null {
    const machine = this.options.fleet.machines.get(name);
    return machine ? this.createPut(machine) : this.createDeletion(name);
  }

  private createDeletion(name: string): RecordChange | null {
    const version = this.versionOf(name);
    if (version === 0) return null;
    const key = MACHINES + name;
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
    // An older version may have recorded more than fits now. The record says too much until tasks have gone.
    if (machine.recordBytes > limits.valueBytes) return null;
    const { assignments, guards, isComplete } = this.selectRecordable(machine);
    const onNotApplied = this.createRetry(name);
    const onDurable = (revision: number) => {
      this.versions.set(name, revision);
      const now = clock.now();
      for (const assignment of assignments) fleet.assignments.markRecorded(assignment, now);
      fleet.fencing.fenceRecorded(machine, revision);
      if (!isComplete) onNotApplied();
    };
    const key = MACHINES + name;
    const change = { put: key, value: encodeMachine(machine, assignments) };
    return { key, version, change, guards, onDurable, onNotApplied };
  }

  /** 0 if the machine has no record. */
  private versionOf(name: string): number {
    return this.versions.get(name) ?? 0;
  }

  /** Marks the machine unrecorded again, as urgent as it is when this is called. */
  private createRetry(name: string): () => void {
    const { unrecorded } = this.options.fleet;
    const rank = unrecorded.urgentMachines.get(name);
    return () => {
      if (rank === undefined) unrecorded.machines.add(name);
      else unrecorded.markMachineUrgent(name, rank);
    };
  }

  /**
   * What a machine's record may name. A task that it names for the first time may start once it is
   * durable, so it must not be if the task's job was cancelled before: that is a condition, and there
   * may be only so many in a transaction.
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
