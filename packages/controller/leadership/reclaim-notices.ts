/** Graceful eviction from spot machines that the cloud is about to reclaim. */
import type { Assignment, FleetState } from '#core';

/**
 * Evicts the tasks of machines with a reclaim notice: batch work with checkpoints writes one before the machine
 * is gone, services move at once, and replicas of several members move as a whole. Work without checkpoints runs
 * on, since stopping it early would save nothing. `now` in steady seconds.
 */
export function evictOnReclaimNotices(fleet: FleetState, now: number): void {
  for (const machine of fleet.machines.groups.withReclaimNotice) {
    for (const task of [...machine.tasks.values()]) {
      if (task.stop === null) evict(fleet, task, now);
    }
  }
}

function evict(fleet: FleetState, task: Assignment, now: number): void {
  const { spec, replicas } = task.job;
  if (replicas !== null) {
    replicas.moveOff(task, now);
    return;
  }
  const isWorthStopping = spec.checkpointS > 0 || spec.kind === 'service';
  if (isWorthStopping) fleet.assignments.stopGracefully(task, now);
}
