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
      log.debug({ machine: name, type, zone, spot, bootedS: hundredths(now - requestedAt) }, 'up');
    },
    jobCrashLooping({ spec, failures }) {
      const { id: job, class: jobClass, team, tasks } = spec;
      const { attempts, longestRunS } = failures;
      const machines = [...failures.machines];
      const ranS = hundredths(longestRunS);
      log.info({ job, class: jobClass, team, tasks, attempts, ranS, machines }, 'job suspect');
    },
    jobRecovered: ({ spec }) => log.info({ job: spec.id }, 'job cleared'),
    machineFaulty({ name, failures }) {
      log.info({ machine: name, jobs: [...failures.jobs.keys()] }, 'machine broken');
    },
    jobClosed: (job, now) => recordTaskEnd(planner(), job, now),
    taskRunning({ job, index, machine, assignedAt }, now) {
      const fields = {
        job: job.spec.id,
        task: index,
        class: job.spec.class,
        machine: machine.name,
        image: job.spec.image,
        placedS: hundredths(assignedAt - job.startableAt),
        fetchedS: hundredths(now - assignedAt),
      };
      log.debug(fields, 'task running');
    },
    taskEnded({ assignment, cause }, now) {
      const { job, index, attempt, machine } = assignment;
      const ranS = now - (assignment.runningSince ?? now);
      const fields = { job: job.spec.id, task: index, attempt, machine: machine.name, cause, ranS };
      log.debug(fields, 'task over');
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
