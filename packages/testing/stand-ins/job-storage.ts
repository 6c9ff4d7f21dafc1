/**
 * The storage from which tasks load their programs and to which they write checkpoints and results.
 */
import type { Job } from '#wire';
import type { Observer } from './events.js';

/** A job with what only its program knows. */
export interface JobProgram {
  job: Job;
  /** True run times of the tasks in seconds on a machine of nominal speed; of a gang, one for all. */
  runS: number[];
  /** Each task fails after so many seconds, on every machine; null: the program is right. */
  failsAfterS: number | null;
}

/**
 * The storage outside the machines to which users upload their jobs, and where tasks keep their
 * checkpoints and results. Workers read it without the controllers.
 */
export class JobStorage {
  private readonly programs = new Map<string, JobProgram>();
  private readonly results = new Map<string, Set<number>>();
  private readonly progress = new Map<string, number>();

  private readonly completionListeners: ((jobId: string) => void)[] = [];

  constructor(private readonly observer: Observer) {}

  /** Calls back at the moment at which the last task of a job has completed. */
  onJobComplete(listener: (jobId: string) => void): void {
    this.completionListeners.push(listener);
  }

  upload(program: JobProgram): void {
    this.programs.set(program.job.id, program);
  }

  get(jobId: string): JobProgram | undefined {
    return this.programs.get(jobId);
  }

  isDone(jobId: string, index: number): boolean {
    return this.results.get(jobId)?.has(index) ?? false;
  }

  /** All tasks of the job have completed. */
  isComplete(jobId: string): boolean {
    const job = this.programs.get(jobId)?.job;
    return job !== undefined && (this.results.get(jobId)?.size ?? 0) >= job.tasks;
  }

  complete(jobId: string, index: number): void {
    const done = this.results.get(jobId) ?? new Set<number>();
    this.results.set(jobId, done);
    if (done.has(index)) return;
    done.add(index);
    this.observer({ kind: 'task-completed', job: jobId, index });
    if (this.isComplete(jobId)) for (const listener of this.completionListeners) listener(jobId);
  }

  /** Checkpointed progress in seconds of run time; `unit` is the task, or the whole gang. */
  checkpointedProgress(unit: ProgressUnit): number {
    return this.progress.get(unitKey(unit)) ?? 0;
  }

  saveProgress(unit: ProgressUnit, progressS: number): void {
    const key = unitKey(unit);
    this.progress.set(key, Math.max(this.progress.get(key) ?? 0, progressS));
  }
}

/** What has a progress of its own: one task, or a gang as a whole. */
export interface ProgressUnit {
  job: string;
  index: number | 'gang';
}

function unitKey({ job, index }: ProgressUnit): string {
  return `${job}/${index}`;
}

/** The progress that is left when a task is lost: that of its last checkpoint. */
export function progressAtLastCheckpoint(progressS: number, checkpointS: number): number {
  return checkpointS > 0 ? Math.floor(progressS / checkpointS) * checkpointS : 0;
}
