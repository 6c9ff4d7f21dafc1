/** Progress records of open jobs, and the records of job ends. */
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
import { createJobEnding } from './job-ending.js';
import type { RecordChange } from './record-change.js';

/** Tasks per byte of a chunk: each task has one bit. */
const TASKS_PER_BYTE = 8;

/** A progress chunk of a job as an earlier term recorded it. */
export interface RecordedChunk {
  /** Last segment of the record's key: the position of the chunk, see `ProgressLayout`. */
  label: number;
  value: ProgressValue;
  version: number;
}

/** A progress chunk whose record lacks some done tasks. */
interface UnrecordedChunk extends ProgressChunk {
  /** The done tasks that the record lacks. */
  unrecordedTasks: number[];
  /** Version of the chunk's record, 0 if there is none. */
  version: number;
}

/** Dependencies of `JobRecords`. */
export interface JobRecordsOptions {
  fleet: FleetState;
  jobs: JobTable;
  limits: StateLimits;
}

/** Records which tasks of an open job are done, in chunks, and finally that the whole job is done. */
export class JobRecords {
  private readonly layout: ProgressLayout;
  /** For each open job the versions of its chunk records, by key. */
  private readonly chunkVersions = new Map<string, Map<string, number>>();
  /** Versions of the chunk records of ended jobs, by key. */
  private readonly obsoleteChunks = new Map<string, number>();

  constructor(private readonly options: JobRecordsOptions) {
    this.layout = new ProgressLayout(options.limits);
  }

  /** Loads the done tasks of a chunk from an earlier term's record. */
  restore(id: string, { label, value, version }: RecordedChunk): void {
    const key = progressKey(id, label);
    const job = this.options.fleet.jobs.get(id);
    if (job?.phase === 'accepted') {
      const first = this.layout.firstTask(label, value);
      job.done.addBase64(first, value.done);
      this.setChunkVersion(id, key, version);
      this.markTasksBeyondChunk(job, first, value);
    } else if (this.hasJobEnded(id)) this.obsoleteChunks.set(key, version);
  }

  /**
   * Marks done tasks as unrecorded that a restored record holds beyond the end of the present chunk. An older version
   * of the software may have written longer chunks. The chunks for the tasks beyond the end have no record yet and are
   * therefore written first (`unrecordedChunks`), before a shorter value replaces the restored record.
   */
  private markTasksBeyondChunk(
    { spec, done }: JobState,
    first: number,
    { done: text }: ProgressValue,
  ): void {
    const { unrecordedChanges } = this.options.fleet;
    const chunk = this.layout.chunkOf(spec.id, spec.tasks, first);
    const end = Math.min(spec.tasks, first + Buffer.byteLength(text, 'base64') * TASKS_PER_BYTE);
    for (let task = chunk.first + chunk.tasks; task < end; task++) {
      if (!done.has(task)) continue;
      unrecordedChanges.taskDone(spec.id, task);
      unrecordedChanges.jobs.add(spec.id);
    }
  }

  private setChunkVersion(id: string, key: string, version: number): void {
    const jobChunks = this.chunkVersions.get(id);
    if (jobChunks) jobChunks.set(key, version);
    else this.chunkVersions.set(id, new Map([[key, version]]));
  }

  /** Number of chunk records of ended jobs that are to be deleted. */
  get obsoleteChunkCount(): number {
    return this.obsoleteChunks.size;
  }

  /** Marks the chunk records of a job as obsolete; called once the job's record says that it has ended. */
  markJobEnded({ id }: Job): void {
    for (const [key, version] of this.chunkVersions.get(id) ?? [])
      this.obsoleteChunks.set(key, version);
    this.chunkVersions.delete(id);
  }

  /** The changes that delete the chunk records of ended jobs. */
  obsoleteChunkDeletions(): RecordChange[] {
    return [...this.obsoleteChunks].map(([key, version]) => {
      const onDurable = () => {
        this.obsoleteChunks.delete(key);
      };
      return { key, version, change: { delete: key }, onDurable };
    });
  }

  /** The unrecorded changes of a job: its end if all tasks are done, else the chunks with unrecorded done tasks. */
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
    const { condition, change } = createJobEnding(record, 'done', limits.valueBytes);
    const onDurable = (revision: number) => {
      jobs.cache.applyLocal(change.put, change.value, revision);
    };
    const onNotApplied = () => void fleet.unrecordedChanges.jobs.add(id);
    return [{ ...condition, change, onDurable, onNotApplied }];
  }

  private progressChanges(job: JobState): RecordChange[] {
    const { fleet } = this.options;
    const { id } = job.spec;
    return this.unrecordedChunks(job).map((chunk) => {
      const { key, unrecordedTasks, version } = chunk;
      const onNotApplied = () => void fleet.unrecordedChanges.jobs.add(id);
      const onDurable = (revision: number) => {
        // A user may have cancelled the job while the transaction was in progress.
        if (this.hasJobEnded(id)) this.obsoleteChunks.set(key, revision);
        else this.setChunkVersion(id, key, revision);
        fleet.unrecordedChanges.tasksRecorded(id, unrecordedTasks);
      };
      const done = job.done.toBase64(chunk.first, chunk.tasks);
      const change = { put: key, value: this.layout.encodeChunk(chunk, done) };
      return { key, version, change, onDurable, onNotApplied };
    });
  }

  /** The chunks with unrecorded done tasks: those without a record first, then by ascending version of the record. */
  private unrecordedChunks({ spec }: JobState): UnrecordedChunk[] {
    const versions = this.chunkVersions.get(spec.id);
    const byKey = new Map<string, UnrecordedChunk>();
    for (const task of this.options.fleet.unrecordedChanges.doneTasksOf(spec.id)) {
      const chunk = this.layout.chunkOf(spec.id, spec.tasks, task);
      const known = byKey.get(chunk.key);
      const version = versions?.get(chunk.key) ?? 0;
      if (known) known.unrecordedTasks.push(task);
      else byKey.set(chunk.key, { ...chunk, unrecordedTasks: [task], version });
    }
    return [...byKey.values()].sort((one, other) => one.version - other.version);
  }
}
