/** The initial state of an assignment. */
import type { Assignment, JobState, Machine } from '../model/entities.js';

/** The task, machine and attempt of a new assignment. */
export interface AssignmentOptions {
  job: JobState;
  /** Index of the task in its job. */
  index: number;
  machine: Machine;
  attempt: number;
}

/**
 * Creates an assignment that is not recorded, whose start was not sent, and that no heartbeat has listed. `share` is
 * the share of the fleet's resources that is charged for the assignment.
 */
export function newAssignment(
  { job, index, machine, attempt }: AssignmentOptions,
  share: number,
  now: number,
): Assignment {
  return {
    job,
    index,
    attempt,
    machine,
    recorded: false,
    inherited: false,
    startSent: false,
    startAnswerSequence: null,
    missedStarts: 0,
    reportedState: null,
    stop: null,
    share,
    assignedAt: now,
    runningSince: null,
  };
}
