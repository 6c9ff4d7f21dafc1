/** Interfaces between a task, the machine that hosts the task and the TaskRun that executes the task. */
import type { ExitCause, Clock, TaskRef, TaskState } from '#wire';
import type { Observer } from '../events.js';
import type { JobProgram, JobStorage } from '../job-storage.js';
import type { ImageCache } from './image-cache.js';

/** Times of the platform settings that apply to all workers, in seconds. */
export interface WorkerTimes {
  heartbeatIntervalS: number;
  leaseS: number;
  gangWaitS: number;
  gangPeerS: number;
}

/** The part of a machine that its tasks use. */
export interface TaskHost {
  readonly machine: string;
  /** The clock of the machine; its timer callbacks wait while the machine hangs. */
  readonly clock: Clock;
  readonly times: WorkerTimes;
  readonly images: ImageCache;
  readonly storage: JobStorage;
  readonly gangs: GangRendezvous;
  readonly observer: Observer;
  /** Seconds of nominal run time that a task completes in one second. */
  readonly speed: number;
  /** Returns the seconds after which a task of the program fails on this machine; null: never. */
  failsAfterS(program: JobProgram): number | null;
  /** Called when the state of a task has changed, so that a heartbeat is sent soon. */
  taskChanged(): void;
}

/** Lets the tasks of a gang find each other. */
export interface GangRendezvous {
  /** Adds a task that has its image to the other tasks of its attempt. */
  join(task: RunningTask): TaskRun;
}

/** The part of a task that a TaskRun uses. */
export interface RunningTask {
  readonly ref: TaskRef;
  readonly program: JobProgram;
  readonly host: TaskHost;
  readonly state: TaskState;
  setState(state: TaskState): void;
  /** Ends the task. `checkpointed`: its progress was stored immediately before. */
  exit(cause: ExitCause, checkpointed?: boolean): void;
  /** Calls back after the given seconds of the machine's clock, unless the task has exited by then. */
  setTimer(seconds: number, callback: () => void): void;
}

/** Executes a task that has its image. */
export interface TaskRun {
  /** Executes a stop command. */
  stop(graceS: number): void;
  /** Called when the task has left its machine, for any reason. */
  taskLeft(): void;
  /** Called when the machine starts to hang, or resumes. */
  setHanging(hanging: boolean): void;
  speedChanged(): void;
}
