import type { Assignment, FleetState, Machine } from '#core';
import { jobKey, MACHINES, type MachineRecord, type StateLimits } from '#store';
import type { Clock, Condition } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import { RecordBatch, type RecordChange } from './record-batch.js';

export interface MachineRecordsOptions {
  clock: Pick<Clock, 'now'>;
  fleet: FleetState;
  jobs: JobTable;
  limits: StateLimits;
}

/** The records of machines and what is assigned to them. */
export class MachineRecords {
  /** By name of the machine, as far as recorded. */
  private readonly versions = new Map<string, number>();

  constructor(private readonly options: MachineRecordsOptions) {}

  loaded(name: string, version: number): void {
    this.versions.set(name, version);
  }

  /** What is to be recorded of a machine now; null if nothing is. */
  changeOf(name: string): RecordChange | null {
    const { fleet, clock } = this.options;
    const key = MACHINES + name;
    const version = this.versions.get(name) ?? 0;
    const machine = fleet.machines.get(name);
    const rank = fleet.unrecorded.urgentMachines.get(name);
    const again = () => {
      if (rank === undefined) fleet.unrecorded.machines.add(name);
      else fleet.unrecorded.markMachineUrgent(name, rank);
    };
    if (!machine) {
      if (version === 0) return null;
      const durable = () => void this.versions.delete(name);
      return { key, version, change: { delete: key }, guards: [], durable, again };
    }
    if (machine.tasks.size === 0 && version === 0) return null;
    // An older version may have recorded more than fits now. The record says too much until tasks have gone.
    if (machine.recordBytes > this.options.limits.valueBytes) return null;
    const { assignments, guards, complete } = this.nameable(machine);
    const durable = (revision: number) => {
      this.versions.set(name, revision);
      const now = clock.now();
      for (const assignment of assignments) fleet.assignments.recorded(assignment, now);
      fleet.fencing.recorded(machine, revision);
      if (!complete) again();
    };
    const change = { put: key, value: encodeMachine(machine, assignments) };
    return { key, version, change, guards, durable, again };
  }

  /**
   * What a machine's record may name. A task that it names for the first time may start once it is
   * durable, so it must not be if the task's job was cancelled before: that is a condition, and there
   * may be only so many in a transaction.
   */
  private nameable(machine: Machine) {
    const { jobs, limits } = this.options;
    const maxGuards = RecordBatch.maxGuards(limits);
    const guards = new Map<string, Condition>();
    const assignments: Assignment[] = [];
    for (const assignment of machine.tasks.values()) {
      const { id } = assignment.job.spec;
      const guarded = !assignment.recorded && assignment.stop === null;
      if (guarded && !guards.has(id)) {
        if (guards.size === maxGuards) continue;
        guards.set(id, { key: jobKey(id), version: jobs.get(id)?.version ?? 0 });
      }
      assignments.push(assignment);
    }
    const complete = assignments.length === machine.tasks.size;
    return { assignments, guards: [...guards.values()], complete };
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
