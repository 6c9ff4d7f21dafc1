/** Graceful eviction from spot machines that the cloud is about to reclaim. */
import type { FleetState } from '#core';

/**
 * Evicts the tasks of machines with a reclaim notice: batch work with checkpoints writes one before the machine
 * is gone, services move at once, and replicas of several members move as a whole. Work without checkpoints runs
 * on, since stopping it early would save nothing. `now` in steady seconds.
 */
export function evictOnReclaimNotices(fleet: FleetState, now: number): void {
  for (const machine of fleet.machines.groups.noticed) {
    for (const task of [...machine.tasks.values()]) {
      const { checkpointS, kind } = task.job.spec;
      if (task.stop === null && task.job.replicas !== null) {
        task.job.replicas.moveOff(task, now);
        continue;
      }
      const isWorthStopping = checkpointS > 0 || kind === 'service';
      if (task.stop === null && isWorthStopping) fleet.assignments.stopGracefully(task, now);
    }
  }
}
