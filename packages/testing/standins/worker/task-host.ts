import type { Clock } from '#wire';
import type { Observer } from '../events.js';
import type { JobProgram, JobStorage } from '../job-storage.js';
import type { GangNetwork } from './gang-network.js';
import type { ImageCache } from './image-cache.js';

/** Times that the platform's settings give all workers, in seconds. */
export interface WorkerTimes {
  reportS: number;
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
  readonly gangs: GangNetwork;
  readonly observer: Observer;
  /** Run time that passes in a second. */
  readonly speed: number;
  /** Seconds after which a task of this program fails on this machine; null: it does not. */
  failsAfterS(program: JobProgram): number | null;
  /** Something changed that the next report shows. */
  taskChanged(): void;
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
