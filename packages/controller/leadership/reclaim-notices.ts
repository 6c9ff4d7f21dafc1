import type { FleetState } from '#core';

/** What can be saved is saved before the cloud takes a machine that it gave notice of; services move at once. */
export function evictOnReclaimNotices(fleet: FleetState, now: number): void {
  for (const machine of fleet.machines.groups.noticed) {
    for (const task of [...machine.tasks.values()]) {
      const { checkpointS, kind } = task.job.spec;
      if (task.stop === null && task.job.replicas !== null) {
        task.job.replicas.moveOff(task, now);
        continue;
      }
      const worthStopping = checkpointS > 0 || kind === 'service';
      if (task.stop === null && worthStopping) fleet.assignments.stopGracefully(task, now);
    }
  }
}
