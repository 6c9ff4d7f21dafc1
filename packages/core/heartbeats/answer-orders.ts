/** The orders that workers are given for the tasks assigned to their machines. */
import type { Order, TaskRef } from '#wire';
import { type Assignment, assignmentsOf, type JobState, type Machine } from '../model/entities.js';

/** The orders that the answer to a heartbeat carries: stops first, then starts that are recorded. */
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
 * Whether the start may be sent. Nothing is started before it is recorded, a gang or replica only when all of it is
 * (docs/safety.md, points 4 and 12).
 */
export function isStartable(assignment: Assignment): boolean {
  const { reportedState, inherited, recorded, job, attempt } = assignment;
  if (reportedState !== null || inherited || !recorded) return false;
  if (job.replicas !== null) return job.replicas.mayStart(assignment);
  return job.spec.kind !== 'gang' || isAttemptRecorded(job, attempt);
}

/**
 * All tasks of the gang's attempt have a recorded place. Unlike a replica, whose members wait until older generations
 * are gone, a gang does not wait for older attempts, which may be on their way out.
 */
function isAttemptRecorded(job: JobState, attempt: number): boolean {
  let recorded = 0;
  for (const assignment of assignmentsOf(job)) {
    if (assignment.attempt === attempt && assignment.recorded) recorded++;
  }
  return recorded === job.spec.tasks;
}

/** How messages name the assignment's attempt. */
export function taskRef({ job, index, attempt }: Assignment): TaskRef {
  return { job: job.spec.id, index, attempt };
}

/** The order to start it; has no effect at a worker that has the attempt already. */
export function startOrder(assignment: Assignment): Order {
  return { op: 'start', ...taskRef(assignment) };
}

/** The order to stop it; `graceS` are seconds for a checkpoint, 0 kills. */
export function stopOrder(assignment: Assignment, graceS: number): Order {
  return { op: 'stop', graceS, ...taskRef(assignment) };
}

/** The order to kill an attempt that has no place here. */
export function killOrder(ref: TaskRef): Order {
  return { op: 'stop', graceS: 0, ...ref };
}

/** The order to forget an attempt that has exited; a worker that has forgotten it would start it again. */
export function forgetOrder(ref: TaskRef): Order {
  return { op: 'forget', ...ref };
}
