import type { FleetState, JobState } from '#core';
import {
  encodeEndedJob,
  jobKey,
  type ProgressChunk,
  progressKey,
  ProgressLayout,
  type ProgressValue,
  type StateLimits,
} from '#store';
import type { Job } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { RecordChange } from './record-batch.js';

/** Part of a job's done tasks as an earlier term recorded it. */
export interface RecordedChunk {
  /** Last part of the record's key. */
  label: number;
  value: ProgressValue;
  version: number;
}

/** Part of a job whose record lacks some done tasks. */
interface UnrecordedChunk extends ProgressChunk {
  /** Those that it lacks. */
  lacking: number[];
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
  private readonly layout: ProgressLayout;
  /** Versions, by key, of the parts of each open job. */
  private readonly chunks = new Map<string, Map<string, number>>();
  /** Versions, by key, of parts whose jobs are over. */
  private readonly obsolete = new Map<string, number>();

  constructor(private readonly options: JobRecordsOptions) {
    this.layout = new ProgressLayout(options.limits);
  }

  /** Takes a part of a job's done tasks from the record that an earlier term left. */
  loaded(id: string, { label, value, version }: RecordedChunk): void {
    const key = progressKey(id, label);
    const job = this.options.fleet.jobs.get(id);
    if (job?.phase === 'accepted') {
      const first = this.layout.firstTask(label, value);
      job.done.addText(first, value.done);
      this.recordChunk(id, key, version);
      this.recordBeyond(job, first, value);
    } else if (this.hasEnded(id)) this.obsolete.set(key, version);
  }

  /**
   * An older version may have written a longer part than is written now. Before its record is written anew, shorter,
   * the done tasks beyond have records of their own: parts that have none come first (`unrecordedChunks`).
   */
  private recordBeyond({ spec, done }: JobState, first: number, { done: text }: ProgressValue) {
    const { unrecorded } = this.options.fleet;
    const chunk = this.layout.chunkOf(spec.id, spec.tasks, first);
    const end = Math.min(spec.tasks, first + Buffer.byteLength(text, 'base64') * 8);
    for (let task = chunk.first + chunk.tasks; task < end; task++) {
      if (!done.has(task)) continue;
      unrecorded.taskDone(spec.id, task);
      unrecorded.jobs.add(spec.id);
    }
  }

  private recordChunk(id: string, key: string, version: number): void {
    const ofJob = this.chunks.get(id);
    if (ofJob) ofJob.set(key, version);
    else this.chunks.set(id, new Map([[key, version]]));
  }

  /** Parts that jobs that are over have left. */
  get obsoleteCount(): number {
    return this.obsolete.size;
  }

  /** The job's record says that it is over, so nobody needs the parts any more. */
  jobEnded({ id }: Job): void {
    for (const [key, version] of this.chunks.get(id) ?? []) this.obsolete.set(key, version);
    this.chunks.delete(id);
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

  private hasEnded(id: string): boolean {
    const record = this.options.jobs.get(id);
    return record !== undefined && record.phase !== 'accepted';
  }

  private doneChange(job: JobState): RecordChange[] {
    const { fleet, jobs, limits } = this.options;
    const { id } = job.spec;
    const record = jobs.get(id);
    if (record?.phase !== 'accepted') return [];
    const key = jobKey(id);
    const value = encodeEndedJob({ ...record, phase: 'done' }, limits.valueBytes);
    const durable = (revision: number) => jobs.cache.applyLocal(key, value, revision);
    const again = () => void fleet.unrecorded.jobs.add(id);
    const change = { put: key, value };
    return [{ key, version: record.version, change, guards: [], durable, again }];
  }

  private progressChanges(job: JobState): RecordChange[] {
    const { fleet } = this.options;
    const { id } = job.spec;
    return this.unrecordedChunks(job).map((chunk) => {
      const { key, lacking, version } = chunk;
      const again = () => void fleet.unrecorded.jobs.add(id);
      const durable = (revision: number) => {
        // A user may have cancelled it while the transaction was on its way.
        if (this.hasEnded(id)) this.obsolete.set(key, revision);
        else this.recordChunk(id, key, revision);
        fleet.unrecorded.tasksRecorded(id, lacking);
      };
      const done = job.done.textOf(chunk.first, chunk.tasks);
      const change = { put: key, value: this.layout.valueOf(chunk, done) };
      return { key, version, change, guards: [], durable, again };
    });
  }

  /** The parts with tasks that are not recorded, the one that was recorded longest ago first. */
  private unrecordedChunks({ spec }: JobState): UnrecordedChunk[] {
    const versions = this.chunks.get(spec.id);
    const byKey = new Map<string, UnrecordedChunk>();
    for (const task of this.options.fleet.unrecorded.doneTasksOf(spec.id)) {
      const chunk = this.layout.chunkOf(spec.id, spec.tasks, task);
      const known = byKey.get(chunk.key);
      const version = versions?.get(chunk.key) ?? 0;
      if (known) known.lacking.push(task);
      else byKey.set(chunk.key, { ...chunk, lacking: [task], version });
    }
    return [...byKey.values()].sort((one, other) => one.version - other.version);
  }
}
