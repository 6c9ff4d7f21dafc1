/** Writes a leader's changes to the durable records of the model. */
import type { FleetState, JobState, Machine } from '#core';
import type { DurableRecords } from './durable-records.js';
import type { SeededLeaderFault } from './seeded-faults.js';

/** Writes all changes of a leader in one transaction, on the condition that its term is the newest one. */
export class RecorderModel {
  constructor(
    private readonly records: DurableRecords,
    private readonly term: number,
    private readonly fleet: FleetState,
    private readonly seededFault: SeededLeaderFault,
  ) {}

  /** Records all changes since the last call. */
  record(): void {
    const { records, fleet } = this;
    if (records.term !== this.term) return;
    records.revision++;
    fleet.fencing.revisionWritten(records.revision);
    for (const id of fleet.unrecordedChanges.jobs) {
      const job = fleet.jobs.get(id);
      if (!job) throw new Error(`unrecorded job ${id} is not in the fleet state`);
      this.recordProgress(job);
    }
    fleet.unrecordedChanges.jobs.clear();
    if (this.seededFault !== 'starts-before-record') {
      for (const name of fleet.unrecordedChanges.machines) this.recordMachine(name);
    }
    fleet.unrecordedChanges.machines.clear();
  }

  private recordProgress(job: JobState): void {
    const { records, fleet } = this;
    const { id, tasks } = job.spec;
    const record = records.recordOf(id);
    const done = new Set<number>();
    for (let index = 0; index < tasks; index++) if (job.done.has(index)) done.add(index);
    records.done.set(id, done);
    const isComplete = this.seededFault === 'completes-early' ? done.size > 0 : done.size === tasks;
    if (isComplete && record.phase === 'accepted') {
      record.phase = 'done';
      fleet.closeJob(job, 'done', 0);
    }
    fleet.unrecordedChanges.forgetJob(id);
  }

  private recordMachine(name: string): void {
    const { records, fleet } = this;
    const machine = fleet.machines.get(name);
    if (!machine) records.machines.delete(name);
    else {
      markRecorded(machine);
      fleet.fencing.fenceRecorded(machine);
      const { zone, spot } = machine;
      const tasks = [...machine.tasks.values()].map(({ job, index, attempt }) => ({
        job: job.spec.id,
        index,
        attempt,
      }));
      records.machines.set(name, { zone, spot, tasks });
    }
  }
}

/** Marks all assignments to the machine as recorded, so that their starts may be sent. */
export function markRecorded(machine: Machine): void {
  for (const assignment of machine.tasks.values()) assignment.recorded = true;
}
