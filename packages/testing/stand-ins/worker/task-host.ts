/** The interfaces between a task, the machine that hosts it and the way it runs. */
import type { ExitCause, Clock, TaskRef, TaskState } from '#wire';
import type { Observer } from '../events.js';
import type { JobProgram, JobStorage } from '../job-storage.js';
import type { ImageCache } from './image-cache.js';

/** Times that the platform's settings give all workers, in seconds. */
export interface WorkerTimes {
  heartbeatIntervalS: number;
  leaseS: number;
  gangWaitS: number;
  gangPeerS: number;
}

/** What a task takes from the machine that it is on. */
export interface TaskHost {
  readonly machine: string;
  /** Its timers wait while the machine hangs. */
  readonly clock: Clock;
  readonly times: WorkerTimes;
  readonly images: ImageCache;
  readonly storage: JobStorage;
  readonly gangs: GangRendezvous;
  readonly observer: Observer;
  /** Run time that passes in a second. */
  readonly speed: number;
  /** Seconds after which a task of this program fails on this machine; null: it does not. */
  failsAfterS(program: JobProgram): number | null;
  /** Something changed that the next heartbeat shows. */
  taskChanged(): void;
}

/** Where the tasks of gangs find each other. */
export interface GangRendezvous {
  /** The task has its image and waits for the others of its attempt. */
  join(task: RunningTask): TaskRun;
}

/** A task as that which runs it sees it. */
export interface RunningTask {
  readonly ref: TaskRef;
  readonly program: JobProgram;
  readonly host: TaskHost;
  readonly state: TaskState;
  enter(state: TaskState): void;
  /** The task leaves its machine; `checkpointed` if its progress was written just before. */
  exit(cause: ExitCause, checkpointed?: boolean): void;
  /** Calls back after so many seconds of the machine's clock unless the task has left by then. */
  after(seconds: number, callback: () => void): void;
}

/** How a task runs once it has its image. */
export interface TaskRun {
  /** Carries out a stop command. */
  stop(graceS: number): void;
  /** The task has left its machine, in whatever way. */
  ended(): void;
  /** The machine hangs, or goes on. */
  hangs(hanging: boolean): void;
  speedChanged(): void;
}
