/** Reports events of machines, jobs and tasks to the capacity planner and the log. */
import type { Assignment, CapacityPlanner, FleetListener, JobState, Machine, TaskEnd } from '#core';
import type { TaskRef } from '#wire';
import type { Log } from '../observability/log.js';
import type { OrderHistory } from '../observability/order-history.js';

/**
 * Creates the listener of a leader's fleet state. The planner is passed as a function because it is constructed after
 * the fleet state.
 */
export function fleetListener(
  planner: () => CapacityPlanner,
  orders: OrderHistory,
  log: Log,
): FleetListener {
  return {
    machineUp(machine, now) {
      planner().machineUp(machine, now);
      logMachineUp(log, machine, now);
    },
    jobCrashLooping(job) {
      logCrashLoop(log, job);
    },
    jobRecovered({ spec }) {
      log.info({ job: spec.id }, 'job recovered from its crash loop');
    },
    machineFaulty({ name, failures }) {
      const jobs = [...failures.jobs.keys()];
      log.info({ machine: name, jobs }, 'machine is faulty and will be released');
    },
    attemptUnexpected(machine, attempt, now) {
      logUnexpectedAttempt(log, orders, machine, attempt, now);
    },
    jobClosed({ spec, hasOpenDependencies }, now) {
      // A job that still had open dependencies was never counted as an arrival.
      if (!hasOpenDependencies) planner().jobEnded(spec, now);
    },
    taskRunning(assignment, now) {
      logTaskRunning(log, assignment, now);
    },
    taskEnded(end, now) {
      logTaskEnd(log, end, now);
    },
  };
}

function logMachineUp(log: Log, { name, type, zone, spot, requestedAt }: Machine, now: number) {
  const bootS = roundToHundredths(now - requestedAt);
  log.debug({ machine: name, type, zone, spot, bootS }, 'machine came up');
}

function logCrashLoop(log: Log, { spec, failures }: JobState): void {
  const fields = {
    job: spec.id,
    class: spec.class,
    team: spec.team,
    tasks: spec.tasks,
    attempts: failures.attempts,
    longestRunS: roundToHundredths(failures.longestRunS),
    machines: [...failures.machines],
  };
  log.info(fields, 'job is crash-looping');
}

/** Logs an attempt that should not exist, with all that was ordered for its task of late. */
function logUnexpectedAttempt(
  log: Log,
  orders: OrderHistory,
  machine: Machine,
  attempt: TaskRef,
  now: number,
): void {
  const { name, agentEpoch, fencingToken, shownFencingToken } = machine;
  const history = orders.ofTask(attempt);
  const wasForgotten = history.some(
    ({ op, attempt: ordered }) => op === 'forget' && ordered === attempt.attempt,
  );
  const fields = {
    machine: name,
    job: attempt.job,
    task: attempt.index,
    attempt: attempt.attempt,
    kind: wasForgotten ? 'forgotten' : 'unassigned',
    agentEpoch,
    fencingToken,
    shownFencingToken,
    orders: history.map((order) => ({ ...order, agoS: roundToHundredths(now - order.sentAt) })),
  };
  log.info(fields, 'unexpected attempt found and stopped');
}

function logTaskRunning(log: Log, assignment: Assignment, now: number): void {
  const { job, index, machine, assignedAt } = assignment;
  const fields = {
    job: job.spec.id,
    task: index,
    class: job.spec.class,
    machine: machine.name,
    image: job.spec.image,
    waitedS: roundToHundredths(assignedAt - job.startableAt),
    startupS: roundToHundredths(now - assignedAt),
  };
  log.debug(fields, 'task started running');
}

function logTaskEnd(log: Log, { assignment, cause }: TaskEnd, now: number): void {
  const { job, index, attempt, machine, runningSince } = assignment;
  const ranS = now - (runningSince ?? now);
  const fields = { job: job.spec.id, task: index, attempt, machine: machine.name, cause, ranS };
  log.debug(fields, 'task ended');
}

function roundToHundredths(seconds: number): number {
  return Math.round(seconds * 100) / 100;
}
