/** The orders that workers are given for the tasks assigned to their machines. */
import type { Order, TaskRef } from '#wire';
import { type Assignment, assignmentsOf, type JobState, type Machine } from '../model/entities.js';

/** The orders in the answer to a heartbeat: stops first, then the starts that may be sent. */
export function ordersForAnswer(machine: Machine, heartbeatSequence: number): Order[] {
  const stops: Order[] = [];
  const starts: Order[] = [];
  for (const assignment of machine.tasks.values()) {
    if (assignment.stop !== null) stops.push(stopOrder(assignment, assignment.stop.graceS));
    else if (isStartable(assignment)) {
      assignment.startSent = true;
      assignment.startAnswerSequence ??= heartbeatSequence;
      starts.push(startOrder(assignment));
    }
  }
  return [...stops, ...starts];
}

/**
 * Whether the start order of the assignment may be sent. A task is started only after its assignment is recorded, a
 * gang or replica only after the assignments of all its tasks are recorded (docs/safety.md, points 4 and 12).
 */
export function isStartable(assignment: Assignment): boolean {
  const { reportedState, inherited, recorded, job, attempt } = assignment;
  if (reportedState !== null || inherited || !recorded) return false;
  if (job.replicas !== null) return job.replicas.mayStart(assignment);
  return job.spec.kind !== 'gang' || isAttemptRecorded(job, attempt);
}

/**
 * Whether the assignments of all tasks of the gang's attempt are recorded. The members of a replica wait until older
 * generations are gone; a gang does not wait for older attempts, which may still be stopping.
 */
function isAttemptRecorded(job: JobState, attempt: number): boolean {
  let recorded = 0;
  for (const assignment of assignmentsOf(job)) {
    if (assignment.attempt === attempt && assignment.recorded) recorded++;
  }
  return recorded === job.spec.tasks;
}

/** Identifies the assignment's attempt in messages. */
export function taskRef({ job, index, attempt }: Assignment): TaskRef {
  return { job: job.spec.id, index, attempt };
}

/** The order to start the assignment's task. It has no effect on a worker that already has the attempt. */
export function startOrder(assignment: Assignment): Order {
  return { op: 'start', ...taskRef(assignment) };
}

/** The order to stop the assignment's task. `graceS` is the time in seconds for a checkpoint; 0 kills at once. */
export function stopOrder(assignment: Assignment, graceS: number): Order {
  return { op: 'stop', graceS, ...taskRef(assignment) };
}

/** The order to kill an attempt that should not run on the machine. */
export function killOrder(ref: TaskRef): Order {
  return { op: 'stop', graceS: 0, ...ref };
}

/** The order to forget an attempt that has exited. A worker that has forgotten an attempt would start it again. */
export function forgetOrder(ref: TaskRef): Order {
  return { op: 'forget', ...ref };
}
