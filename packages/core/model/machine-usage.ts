/** Sums over the tasks of a machine, updated with each change so that they need not be recomputed. */
import type { Resources } from './resources.js';

/**
 * Resources that a machine's tasks use, and counts of the tasks. Only the MachineRegistry changes the read-only fields,
 * since they decide which groups of machines the machine belongs to.
 */
export interface MachineUsage {
  /** Size of the machine's record in bytes of JSON. */
  recordBytes: number;
  /** Resources that all tasks on the machine use. */
  used: Resources;
  /** The part of `used` that best-effort tasks use. */
  usedBestEffort: Resources;
  /** Number of firm (not best-effort) tasks on the machine. */
  firmTasks: number;
  /** Number of tasks on the machine that were asked to stop. */
  readonly stoppingTasks: number;
  /** Number of service replicas on the machine that are not best-effort and were not asked to stop. */
  readonly stayingReplicas: number;
  /** Rises whenever an assignment on the machine is added or removed. */
  assignmentVersion: number;
  /**
   * Time since which the machine has had no firm task, in seconds of the monotonic clock. Meaningless while `firmTasks`
   * is not 0.
   */
  idleSince: number;
}
