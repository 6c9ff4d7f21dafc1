import type { FleetState, JobState } from '#core';
import { encodeJob, jobKey, progressChunkTasks, progressKey, type StateLimits } from '#store';
import type { Job } from '#wire';
import type { JobTable } from './jobs.js';
import type { RecordChange } from './record-batch.js';

/** Part of a job's done tasks as it is recorded. */
interface RecordedChunk {
  version: number;
  text: string;
}

export interface JobRecordsOptions {
  fleet: FleetState;
  jobs: JobTable;
  limits: StateLimits;
}

/** The records of which tasks are done: in parts while a job is open, then that all of it is. */
export class JobRecords {
  private readonly chunkTasks: number;
  /** By key. */
  private readonly chunks = new Map<string, RecordedChunk>();
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
      this.chunks.set(key, recorded);
    } else if (this.isOver(id)) this.obsolete.set(key, recorded.version);
  }

  get anyObsolete(): boolean {
    return this.obsolete.size > 0;
  }

  /** The job's record says that it is over, so nobody needs the parts any more. */
  over({ id, tasks }: Job): void {
    for (let chunk = 0; chunk * this.chunkTasks < tasks; chunk++) {
      const key = progressKey(id, chunk);
      const recorded = this.chunks.get(key);
      if (!recorded) continue;
      this.chunks.delete(key);
      this.obsolete.set(key, recorded.version);
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
    const { id } = job.spec;
    const again = () => void this.options.fleet.unrecorded.jobs.add(id);
    return this.unrecordedChunks(job).map(({ key, text, version }) => {
      const durable = (revision: number) => {
        // A user may have cancelled it while the transaction was on its way.
        if (this.isOver(id)) this.obsolete.set(key, revision);
        else this.chunks.set(key, { version: revision, text });
        if (this.unrecordedChunks(job).length === 0) job.hasUnrecordedProgress = false;
      };
      const change = { put: key, value: { done: text } };
      return { key, version, change, guards: [], durable, again };
    });
  }

  /** The parts that differ from their records, the one that was recorded longest ago first. */
  private unrecordedChunks(job: JobState): (RecordedChunk & { key: string })[] {
    const found: (RecordedChunk & { key: string })[] = [];
    for (let chunk = 0; chunk * this.chunkTasks < job.spec.tasks; chunk++) {
      const key = progressKey(job.spec.id, chunk);
      const text = job.done.chunkText(chunk, this.chunkTasks);
      const recorded = this.chunks.get(key);
      const isRecorded = recorded ? recorded.text === text : holdsNoTask(text);
      if (!isRecorded) found.push({ key, text, version: recorded?.version ?? 0 });
    }
    return found.sort((one, other) => one.version - other.version);
  }
}

/** Base64 of zero bits alone. */
function holdsNoTask(text: string): boolean {
  return /^A*=*$/.test(text);
}
