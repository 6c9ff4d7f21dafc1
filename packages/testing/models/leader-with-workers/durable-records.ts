/** The state service's records in the model. */
import type { Job, TaskRef } from '#wire';

interface JobRecord {
  job: Job;
  phase: 'accepted' | 'cancelled' | 'done';
  /** Seconds of the simulated clock; Infinity unless cancelled. */
  cancelledAt: number;
}

interface MachineRecord {
  zone: string;
  spot: boolean;
  tasks: TaskRef[];
}

/** The durable records, the only state that survives a leader. */
export class DurableRecords {
  /** The term of the newest leader. */
  term = 0;
  /** Increases with each change of a job record, each recording and each new term. */
  revision = 10;
  readonly jobs = new Map<string, JobRecord>();
  /** Indices of the tasks that are recorded as done, by job. */
  readonly done = new Map<string, Set<number>>();
  readonly machines = new Map<string, MachineRecord>();

  jobOf(id: string): Job {
    return this.recordOf(id).job;
  }

  /** The record of a job that was accepted; throws if there is none. */
  recordOf(id: string): JobRecord {
    const record = this.jobs.get(id);
    if (!record) throw new Error(`job ${id} has no record`);
    return record;
  }

  accept(job: Job): void {
    this.revision++;
    this.jobs.set(job.id, { job, phase: 'accepted', cancelledAt: Infinity });
  }

  cancel(record: JobRecord, now: number): void {
    this.revision++;
    record.phase = 'cancelled';
    record.cancelledAt = now;
  }

  /** Jobs that are neither done nor cancelled. */
  openJobs(): JobRecord[] {
    return [...this.jobs.values()].filter((record) => record.phase === 'accepted');
  }

  /** Begins a new term and returns its number. */
  beginTerm(): number {
    this.term = ++this.revision;
    return this.term;
  }

  /** Whether the machine's record lists this attempt of the task. */
  isRecorded(machine: string, { job, index, attempt }: TaskRef): boolean {
    const tasks = this.machines.get(machine)?.tasks ?? [];
    return tasks.some(
      (task) => task.job === job && task.index === index && task.attempt === attempt,
    );
  }
}
