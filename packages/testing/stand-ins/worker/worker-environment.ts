/** Options of a worker: what all workers of a fleet share, and the traits of one machine. */
import type { Observer } from '../events.js';
import type { JobStorage } from '../job-storage.js';
import type { CommandFaults } from './command-server.js';
import type { GangRegistry } from './gang-registry.js';
import type { LateHeartbeats } from './late-heartbeats.js';
import type { ControllerAddress } from './controller-selector.js';
import type { WorkerTimes } from './task-host.js';

/** One heartbeat and the status of its answer; times in seconds of the worker's monotonic clock. */
export interface HeartbeatExchange {
  machine: string;
  /** Name of the controller to which the heartbeat was sent. */
  controller: string;
  /** HTTP status of the answer; null if none came before the timeout. */
  status: number | null;
  sentAtS: number;
  endedAtS: number;
}

/** Receives the outcomes of heartbeats, for measurements. */
export interface HeartbeatObserver {
  exchanged(exchange: HeartbeatExchange): void;
  /** Called when the worker accepts an answer of the controller with the given fencing token. */
  onAccepted?(machine: string, controller: string, fencingToken: number): void;
  /** Called when the lease of the machine's worker has expired. */
  leaseEnded(machine: string): void;
}

/** What all workers of a fleet share. */
export interface WorkerEnvironment extends CommandFaults {
  times: WorkerTimes;
  controllers: ControllerAddress[];
  storage: JobStorage;
  gangs: GangRegistry;
  observer: Observer;
  lateHeartbeats: LateHeartbeats;
  heartbeatObserver?: HeartbeatObserver;
}

/** How one machine differs from others of its type. */
export interface MachineTraits {
  /** Seconds of nominal run time that a task completes in one second. */
  speed: number;
  /** Actual rate of image fetches. */
  fetchGbPerS: number;
  /** Seconds after which tasks fail on the machine; null: tasks don't fail because of the machine. */
  tasksFailAfterS: number | null;
}
