/** The records of what is done of jobs. */
import type { FleetState, JobState } from '#core';
import {
  type ProgressChunk,
  progressKey,
  ProgressLayout,
  type ProgressValue,
  type StateLimits,
} from '#store';
import type { Job } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import { jobEnding } from './job-ending.js';
import type { RecordChange } from './record-change.js';

/** Done bits in a byte of a chunk. */
const TASKS_PER_BYTE = 8;

/** A chunk of a job's done tasks as an earlier term recorded it. */
export interface RecordedChunk {
  /** What the record's key ends with: the place of the chunk. */
  label: number;
  value: ProgressValue;
  version: number;
}

/** A chunk of a job whose record lacks some done tasks. */
interface UnrecordedChunk extends ProgressChunk {
  /** The done tasks that the record lacks. */
  unrecordedTasks: number[];
  /** Of its record, 0 if there is none. */
  version: number;
}

/** What `JobRecords` works on. */
export interface JobRecordsOptions {
  fleet: FleetState;
  jobs: JobTable;
  limits: StateLimits;
}

/** The records of which tasks are done: in chunks while a job is open, then that all of it is. */
export class JobRecords {
  private readonly layout: ProgressLayout;
  /** Versions, by key, of the chunks of each open job. */
  private readonly chunkVersions = new Map<string, Map<string, number>>();
  /** Versions, by key, of chunks whose jobs are over. */
  private readonly obsoleteChunks = new Map<string, number>();

  constructor(private readonly options: JobRecordsOptions) {
    this.layout = new ProgressLayout(options.limits);
  }

  /** Accepts a chunk of a job's done tasks from the record that an earlier term left. */
  restore(id: string, { label, value, version }: RecordedChunk): void {
    const key = progressKey(id, label);
    const job = this.options.fleet.jobs.get(id);
    if (job?.phase === 'accepted') {
      const first = this.layout.firstTask(label, value);
      job.done.addText(first, value.done);
      this.setChunkVersion(id, key, version);
      this.markTasksBeyondChunk(job, first, value);
    } else if (this.hasJobEnded(id)) this.obsoleteChunks.set(key, version);
  }

  /**
   * An older version may have written a longer chunk than is written now. Before its record is replaced by a shorter
   * one, the done tasks beyond have records of their own: chunks that have none come first (`unrecordedChunks`).
   */
  private markTasksBeyondChunk(
    { spec, done }: JobState,
    first: number,
    { done: text }: ProgressValue,
  ): void {
    const { unrecorded } = this.options.fleet;
    const chunk = this.layout.chunkOf(spec.id, spec.tasks, first);
    const end = Math.min(spec.tasks, first + Buffer.byteLength(text, 'base64') * TASKS_PER_BYTE);
    for (let task = chunk.first + chunk.tasks; task < end; task++) {
      if (!done.has(task)) continue;
      unrecorded.taskDone(spec.id, task);
      unrecorded.jobs.add(spec.id);
    }
  }

  private setChunkVersion(id: string, key: string, version: number): void {
    const jobChunks = this.chunkVersions.get(id);
    if (jobChunks) jobChunks.set(key, version);
    else this.chunkVersions.set(id, new Map([[key, version]]));
  }

  /** How many chunks jobs that are over have left. */
  get obsoleteChunkCount(): number {
    return this.obsoleteChunks.size;
  }

  /** The job's record says that it is over, so nobody needs the chunks any more. */
  jobEnded({ id }: Job): void {
    for (const [key, version] of this.chunkVersions.get(id) ?? [])
      this.obsoleteChunks.set(key, version);
    this.chunkVersions.delete(id);
  }

  /** The changes that delete what jobs that are over have left. */
  obsoleteChunkDeletions(): RecordChange[] {
    return [...this.obsoleteChunks].map(([key, version]) => {
      const onDurable = () => {
        this.obsoleteChunks.delete(key);
      };
      return { key, version, change: { delete: key }, onDurable };
    });
  }

  /** What is to be recorded of a job now: that it is done, or its chunks with done tasks that no record has. */
  changesOf(job: JobState): RecordChange[] {
    if (job.phase !== 'accepted') return [];
    return job.done.size === job.spec.tasks ? this.jobEndChanges(job) : this.progressChanges(job);
  }

  private hasJobEnded(id: string): boolean {
    const record = this.options.jobs.get(id);
    return record !== undefined && record.phase !== 'accepted';
  }

  private jobEndChanges(job: JobState): RecordChange[] {
    const { fleet, jobs, limits } = this.options;
    const { id } = job.spec;
    const record = jobs.get(id);
    if (record?.phase !== 'accepted') return [];
    const { condition, change } = jobEnding(record, 'done', limits.valueBytes);
    const onDurable = (revision: number) => {
      jobs.cache.applyLocal(change.put, change.value, revision);
    };
    const onNotApplied = () => void fleet.unrecorded.jobs.add(id);
    return [{ ...condition, change, onDurable, onNotApplied }];
  }

  private progressChanges(job: JobState): RecordChange[] {
    const { fleet } = this.options;
    const { id } = job.spec;
    return this.unrecordedChunks(job).map((chunk) => {
      const { key, unrecordedTasks, version } = chunk;
      const onNotApplied = () => void fleet.unrecorded.jobs.add(id);
      const onDurable = (revision: number) => {
        // A user may have cancelled it while the transaction was on its way.
        if (this.hasJobEnded(id)) this.obsoleteChunks.set(key, revision);
        else this.setChunkVersion(id, key, revision);
        fleet.unrecorded.tasksRecorded(id, unrecordedTasks);
      };
      const done = job.done.textOf(chunk.first, chunk.tasks);
      const change = { put: key, value: this.layout.valueOf(chunk, done) };
      return { key, version, change, onDurable, onNotApplied };
    });
  }

  /** The chunks with done tasks that are not recorded, the one that was recorded longest ago first. */
  private unrecordedChunks({ spec }: JobState): UnrecordedChunk[] {
    const versions = this.chunkVersions.get(spec.id);
    const byKey = new Map<string, UnrecordedChunk>();
    for (const task of this.options.fleet.unrecorded.doneTasksOf(spec.id)) {
      const chunk = this.layout.chunkOf(spec.id, spec.tasks, task);
      const known = byKey.get(chunk.key);
      const version = versions?.get(chunk.key) ?? 0;
      if (known) known.unrecordedTasks.push(task);
      else byKey.set(chunk.key, { ...chunk, unrecordedTasks: [task], version });
    }
    return [...byKey.values()].sort((one, other) => one.version - other.version);
  }
}
