/** What a worker is given: what the fleet shares and the traits of its machine. */
import type { Observer } from '../events.js';
import type { JobStorage } from '../job-storage.js';
import type { ReplyLoss } from '../lost-replies.js';
import type { GangNetwork } from './gang-network.js';
import type { LateHeartbeats } from './late-heartbeats.js';
import type { ControllerAddress } from './node-choice.js';
import type { WorkerTimes } from './task-host.js';

/** One heartbeat and what became of it; seconds of the worker's clock. */
export interface HeartbeatExchange {
  machine: string;
  /** Name of the controller that it was sent to. */
  controller: string;
  /** Null if no answer came in time. */
  status: number | null;
  sentAtS: number;
  endedAtS: number;
}

/** Is told how workers fare with their heartbeats, for measurements. */
export interface HeartbeatObserver {
  exchanged(exchange: HeartbeatExchange): void;
  /** The worker obeys the answer of a controller that carried this fencing token. */
  obeyed?(machine: string, controller: string, fencingToken: number): void;
  /** The machine's worker lease has expired. */
  leaseEnded(machine: string): void;
}

/** What all workers of a fleet share. */
export interface WorkerSurroundings {
  times: WorkerTimes;
  controllers: ControllerAddress[];
  storage: JobStorage;
  gangs: GangNetwork;
  observer: Observer;
  lateHeartbeats: LateHeartbeats;
  lateCommands: ReplyLoss;
  heartbeatObserver?: HeartbeatObserver;
}

/** How one machine differs from others of its type. */
export interface MachineTraits {
  /** Run time that passes in a second. */
  speed: number;
  /** Actual rate of image fetches. */
  fetchGbPerS: number;
  /** Tasks fail after so many seconds; null: the machine is sound. */
  tasksFailAfterS: number | null;
}
