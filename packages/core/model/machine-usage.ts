/** Sums over the tasks of a machine, updated with each change so that they need not be recomputed. */
import type { Resources } from './resources.js';

/**
 * Resources that a machine's tasks use, and counts of the tasks. Only the MachineRegistry changes the read-only fields,
 * since they decide which groups of machines the machine belongs to.
 */
export interface MachineUsage {
  /** Size of the machine's record in bytes of JSON. */
  recordBytes: number;
  /** Resources that all its tasks use. */
  used: Resources;
  /** The part of `used` that best-effort tasks use. */
  usedBestEffort: Resources;
  /** Number of tasks on it that are not best-effort. */
  firmTasks: number;
  /** Number of tasks on it that were asked to stop. */
  readonly stoppingTasks: number;
  /** Number of service replicas on it that are not best-effort and were not asked to stop. */
  readonly stayingReplicas: number;
  /** Rises whenever an assignment on the machine is added or removed. */
  assignmentVersion: number;
  /** Since when `firmTasks` is 0, in seconds of the monotonic clock; meaningless while it is not 0. */
  idleSince: number;
}
