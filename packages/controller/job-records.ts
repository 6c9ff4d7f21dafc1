import type { FleetState, JobState } from '#core';
import { encodeJob, jobKey, progressChunkTasks, progressKey, type StateLimits } from '#store';
import type { JobTable } from './jobs.js';
import type { RecordChange } from './record-batch.js';

/** Part of a job's done tasks as it is recorded. */
interface RecordedChunk {
  version: number;
  text: string;
}

export interface JobRecordsOptions {
  book: FleetState;
  jobs: JobTable;
  limits: StateLimits;
}

/** The records of which tasks are done: in parts while a job is open, then that all of it is. */
export class JobRecords {
  private readonly chunkTasks: number;
  /** By key. */
  private readonly chunks = new Map<string, RecordedChunk>();

  constructor(private readonly options: JobRecordsOptions) {
    this.chunkTasks = progressChunkTasks(options.limits.valueBytes);
  }

  /** Takes a part of a job's done tasks from the record that an earlier term left. */
  loaded(job: JobState, chunk: number, recorded: RecordedChunk): void {
    job.done.addChunk(chunk, this.chunkTasks, recorded.text);
    this.chunks.set(progressKey(job.job.id, chunk), recorded);
  }

  /** What is to be recorded of a job now; all of it together makes the job saved. */
  changesOf(job: JobState): RecordChange[] {
    if (job.phase !== 'accepted') return [];
    return job.done.size === job.job.tasks ? this.doneChange(job) : this.progressChanges(job);
  }

  private doneChange(job: JobState): RecordChange[] {
    const { book, jobs } = this.options;
    const { id } = job.job;
    const record = jobs.get(id);
    if (record?.phase !== 'accepted') return [];
    const key = jobKey(id);
    const value = encodeJob({ ...record, phase: 'done' });
    const durable = (revision: number) => jobs.cache.learn(key, value, revision);
    const again = () => void book.unrecorded.jobs.add(id);
    const change = { put: key, value };
    return [{ key, version: record.version, change, guards: [], durable, again }];
  }

  private progressChanges(job: JobState): RecordChange[] {
    const again = () => void this.options.book.unrecorded.jobs.add(job.job.id);
    return this.unrecordedChunks(job).map(({ key, text, version }) => {
      const durable = (revision: number) => {
        this.chunks.set(key, { version: revision, text });
        if (this.unrecordedChunks(job).length === 0) job.unsaved = false;
      };
      return {
        key,
        version,
        change: { put: key, value: { done: text } },
        guards: [],
        durable,
        again,
      };
    });
  }

  /** The parts that differ from their records, the one that was recorded longest ago first. */
  private unrecordedChunks(job: JobState): (RecordedChunk & { key: string })[] {
    const found: (RecordedChunk & { key: string })[] = [];
    for (let chunk = 0; chunk * this.chunkTasks < job.job.tasks; chunk++) {
      const key = progressKey(job.job.id, chunk);
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
