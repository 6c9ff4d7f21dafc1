import type { CapacityPlanner, FleetListener, JobState } from '#core';
import type { Log } from '../observability/log.js';

/**
 * Tells the planner and the log what happens to machines and tasks. The planner is made from the state
 * that this listener is given to, so it is asked for when something happens.
 */
export function fleetListener(planner: () => CapacityPlanner, log: Log): FleetListener {
  return {
    machineUp(machine, now) {
      planner().machineUp(machine, now);
      const { name, type, zone, spot, requestedAt } = machine;
      log.debug(
        { machine: name, type, zone, spot, bootS: hundredths(now - requestedAt) },
        'machine came up',
      );
    },
    jobCrashLooping({ spec, failures }) {
      const { id: job, class: jobClass, team, tasks } = spec;
      const { attempts, longestRunS } = failures;
      const machines = [...failures.machines];
      const longestS = hundredths(longestRunS);
      log.info(
        { job, class: jobClass, team, tasks, attempts, longestRunS: longestS, machines },
        'job is crash-looping',
      );
    },
    jobRecovered: ({ spec }) => log.info({ job: spec.id }, 'job recovered from its crash loop'),
    machineFaulty({ name, failures }) {
      log.info(
        { machine: name, jobs: [...failures.jobs.keys()] },
        'machine is faulty and will be released',
      );
    },
    jobClosed: (job, now) => recordTaskEnd(planner(), job, now),
    taskRunning({ job, index, machine, assignedAt }, now) {
      const fields = {
        job: job.spec.id,
        task: index,
        class: job.spec.class,
        machine: machine.name,
        image: job.spec.image,
        waitedS: hundredths(assignedAt - job.startableAt),
        startupS: hundredths(now - assignedAt),
      };
      log.debug(fields, 'task started running');
    },
    taskEnded({ assignment, cause }, now) {
      const { job, index, attempt, machine } = assignment;
      const ranS = now - (assignment.runningSince ?? now);
      const fields = { job: job.spec.id, task: index, attempt, machine: machine.name, cause, ranS };
      log.debug(fields, 'task ended');
    },
  };
}

/** One that still awaited others has not counted as come. */
function recordTaskEnd(
  planner: CapacityPlanner,
  { spec, hasOpenDependencies }: JobState,
  now: number,
): void {
  if (!hasOpenDependencies) planner.jobEnded(spec, now);
}

function hundredths(seconds: number): number {
  return Math.round(seconds * 100) / 100;
}
