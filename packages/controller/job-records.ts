import type { FleetState, JobState } from '#core';
import { encodeJob, jobKey, progressChunkTasks, progressKey, type StateLimits } from '#store';
import type { Job } from '#wire';
import type { JobTable } from './jobs.js';
import type { RecordChange } from './record-batch.js';

/** Part of a job's done tasks as an earlier term recorded it. */
interface RecordedChunk {
  version: number;
  text: string;
}

/** Part of a job whose record lacks some done tasks. */
interface UnrecordedChunk {
  chunk: number;
  tasks: number[];
  /** Of its record, 0 if there is none. */
  version: number;
}

export interface JobRecordsOptions {
  fleet: FleetState;
  jobs: JobTable;
  limits: StateLimits;
}

/** The records of which tasks are done: in parts while a job is open, then that all of it is. */
export class JobRecords {
  private readonly chunkTasks: number;
  /** Versions, by key, of parts of open jobs. */
  private readonly chunks = new Map<string, number>();
  /** Versions, by key, of parts whose jobs are over. */
  private readonly obsolete = new Map<string, number>();

  constructor(private readonly options: JobRecordsOptions) {
    this.chunkTasks = progressChunkTasks(options.limits.valueBytes);
  }

  /** Takes a part of a job's done tasks from the record that an earlier term left. */
  loaded(id: string, chunk: number, recorded: RecordedChunk): void {
    const key = progressKey(id, chunk);
    const job = this.options.fleet.jobs.get(id);
    if (job?.phase === 'accepted') {
      job.done.addChunk(chunk, this.chunkTasks, recorded.text);
      this.chunks.set(key, recorded.version);
    } else if (this.isOver(id)) this.obsolete.set(key, recorded.version);
  }

  /** Parts that jobs that are over have left. */
  get obsoleteCount(): number {
    return this.obsolete.size;
  }

  /** The job's record says that it is over, so nobody needs the parts any more. */
  over({ id, tasks }: Job): void {
    for (let chunk = 0; chunk * this.chunkTasks < tasks; chunk++) {
      const key = progressKey(id, chunk);
      const version = this.chunks.get(key);
      if (version === undefined) continue;
      this.chunks.delete(key);
      this.obsolete.set(key, version);
    }
  }

  /** Deletes what jobs that are over have left. */
  removals(): RecordChange[] {
    return [...this.obsolete].map(([key, version]) => {
      const durable = () => void this.obsolete.delete(key);
      return { key, version, change: { delete: key }, guards: [], durable, again: () => {} };
    });
  }

  /** What is to be recorded of a job now; all of it together makes the job saved. */
  changesOf(job: JobState): RecordChange[] {
    if (job.phase !== 'accepted') return [];
    return job.done.size === job.spec.tasks ? this.doneChange(job) : this.progressChanges(job);
  }

  private isOver(id: string): boolean {
    const record = this.options.jobs.get(id);
    return record !== undefined && record.phase !== 'accepted';
  }

  private doneChange(job: JobState): RecordChange[] {
    const { fleet, jobs } = this.options;
    const { id } = job.spec;
    const record = jobs.get(id);
    if (record?.phase !== 'accepted') return [];
    const key = jobKey(id);
    const value = encodeJob({ ...record, phase: 'done' });
    const durable = (revision: number) => jobs.cache.learn(key, value, revision);
    const again = () => void fleet.unrecorded.jobs.add(id);
    const change = { put: key, value };
    return [{ key, version: record.version, change, guards: [], durable, again }];
  }

  private progressChanges(job: JobState): RecordChange[] {
    const { fleet } = this.options;
    const { id } = job.spec;
    return this.unrecordedChunks(job).map(({ chunk, tasks, version }) => {
      const key = progressKey(id, chunk);
      const again = () => void fleet.unrecorded.jobs.add(id);
      const durable = (revision: number) => {
        // A user may have cancelled it while the transaction was on its way.
        if (this.isOver(id)) this.obsolete.set(key, revision);
        else this.chunks.set(key, revision);
        fleet.unrecorded.tasksRecorded(id, tasks);
      };
      const change = { put: key, value: { done: job.done.chunkText(chunk, this.chunkTasks) } };
      return { key, version, change, guards: [], durable, again };
    });
  }

  /** The parts with tasks that are not recorded, the one that was recorded longest ago first. */
  private unrecordedChunks(job: JobState): UnrecordedChunk[] {
    const tasksByChunk = new Map<number, number[]>();
    for (const task of this.options.fleet.unrecorded.doneTasksOf(job.spec.id)) {
      const chunk = Math.floor(task / this.chunkTasks);
      const tasks = tasksByChunk.get(chunk);
      if (tasks) tasks.push(task);
      else tasksByChunk.set(chunk, [task]);
    }
    const found = [...tasksByChunk].map(([chunk, tasks]) => {
      const version = this.chunks.get(progressKey(job.spec.id, chunk)) ?? 0;
      return { chunk, tasks, version };
    });
    return found.sort((one, other) => one.version - other.version);
  }
}
