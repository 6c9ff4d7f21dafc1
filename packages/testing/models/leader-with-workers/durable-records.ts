/** The records in the state service of the model. */
import type { Job, TaskRef } from '#wire';

interface JobRecord {
  job: Job;
  phase: 'accepted' | 'cancelled' | 'done';
  /** Steady seconds; Infinity unless cancelled. */
  cancelledAt: number;
}

interface MachineRecord {
  zone: string;
  spot: boolean;
  tasks: TaskRef[];
}

/** What is durable: the only thing that outlives a leader. */
export class DurableRecords {
  /** The term of the newest leader. */
  term = 0;
  /** Counts all changes. */
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

  /** Begins a term and returns it. */
  beginTerm(): number {
    this.term = ++this.revision;
    return this.term;
  }

  /** Whether a record names this attempt on the machine. */
  isRecorded(machine: string, { job, index, attempt }: TaskRef): boolean {
    const tasks = this.machines.get(machine)?.tasks ?? [];
    return tasks.some(
      (task) => task.job === job && task.index === index && task.attempt === attempt,
    );
  }
}
