/** Sums over the tasks of a machine, kept as tasks come and go so that nobody has to add them up. */
import type { Amounts } from './amounts.js';

/**
 * What a machine's tasks take of it. What is read-only here is changed by the MachineRegistry alone, which keeps
 * groups of machines by it.
 */
export interface MachineUsage {
  /** Bytes in JSON of the machine's record. */
  recordBytes: number;
  /** What all its tasks take of it. */
  used: Amounts;
  /** The part of it that best-effort tasks take. */
  usedBestEffort: Amounts;
  /** Tasks on it that are not best-effort. */
  firmTasks: number;
  /** Tasks on it that were asked to stop. */
  readonly stoppingTasks: number;
  /** Replicas on it that are not best-effort and were not asked to stop. */
  readonly stayingReplicas: number;
  /** Rises whenever a task comes or goes. */
  assignmentVersion: number;
  /** Since when it has no firm task, in seconds of the steady clock; of use only while it has none. */
  idleSince: number;
}
