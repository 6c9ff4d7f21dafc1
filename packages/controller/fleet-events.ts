import type { CapacityPlanner, FleetListener } from '#core';
import type { Log } from './log.js';

/**
 * Tells the planner and the log what happens to machines and tasks. The planner is made from the state
 * that this listener is given to, so it is asked for when something happens.
 */
export function fleetListener(planner: () => CapacityPlanner, log: Log): FleetListener {
  return {
    machineUp(machine, now) {
      planner().machineUp(machine, now);
      const { name, type, zone, spot, bornAt } = machine;
      log.debug({ machine: name, type, zone, spot, bootedS: hundredths(now - bornAt) }, 'up');
    },
    jobClosed: (job, now) => planner().jobEnded(job.job, now),
    taskRunning({ job, index, machine, since }, now) {
      const fields = {
        job: job.job.id,
        task: index,
        class: job.job.class,
        machine: machine.name,
        image: job.job.image,
        placedS: hundredths(since - job.acceptedAt),
        fetchedS: hundredths(now - since),
      };
      log.debug(fields, 'task running');
    },
    taskEnded({ assignment, cause }, now) {
      const { job, index, attempt, machine } = assignment;
      const ranS = now - (assignment.runningSince ?? now);
      const fields = { job: job.job.id, task: index, attempt, machine: machine.name, cause, ranS };
      log.debug(fields, 'task over');
    },
  };
}

function hundredths(seconds: number): number {
  return Math.round(seconds * 100) / 100;
}
