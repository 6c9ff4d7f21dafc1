/**
 * The storage from which tasks load their programs and to which they write checkpoints and results.
 */
import type { Job } from '#wire';
import type { Observer } from './events.js';

/** A job and the behaviour of its program, which the controllers don't know. */
export interface JobProgram {
  job: Job;
  /** Actual run time of each task in seconds at nominal speed; a gang has a single entry for all tasks. */
  runS: number[];
  /** Seconds after which each task fails on every machine; null: the program does not fail. */
  failsAfterS: number | null;
}

/**
 * The storage outside the machines to which users upload their jobs, and to which tasks write their
 * checkpoints and results. Workers access the storage directly, not through the controllers.
 */
export class JobStorage {
  private readonly programs = new Map<string, JobProgram>();
  private readonly results = new Map<string, Set<number>>();
  private readonly progress = new Map<string, number>();

  private readonly completionListeners: ((jobId: string) => void)[] = [];

  constructor(private readonly observer: Observer) {}

  /** Registers a listener that is called when the last task of a job completes. */
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

  /** Whether all tasks of the job have completed. */
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

  /** Returns the checkpointed progress of a task or gang in seconds of run time. */
  checkpointedProgress(unit: ProgressUnit): number {
    return this.progress.get(unitKey(unit)) ?? 0;
  }

  saveProgress(unit: ProgressUnit, progressS: number): void {
    const key = unitKey(unit);
    this.progress.set(key, Math.max(this.progress.get(key) ?? 0, progressS));
  }
}

/** The unit whose progress is recorded: one task, or a gang as a whole. */
export interface ProgressUnit {
  job: string;
  index: number | 'gang';
}

function unitKey({ job, index }: ProgressUnit): string {
  return `${job}/${index}`;
}

/** Returns the progress in the last periodic checkpoint, which survives the loss of the task. */
export function progressAtLastCheckpoint(progressS: number, checkpointS: number): number {
  return checkpointS > 0 ? Math.floor(progressS / checkpointS) * checkpointS : 0;
}
