/** How an assignment begins. */
import type { Assignment, JobState, Machine } from '../model/entities.js';

/** What decides an assignment. */
export interface AssignmentOptions {
  job: JobState;
  /** Index of the task in its job. */
  index: number;
  machine: Machine;
  attempt: number;
}

/** An assignment that is not recorded, whose start was not sent, and that no heartbeat lists; `share` of the fleet is booked for it. */
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
