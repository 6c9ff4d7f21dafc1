/** Evicts tasks gracefully from spot machines that the cloud is about to reclaim. */
import type { Assignment, FleetState } from '#core';

/**
 * Evicts the tasks of machines with a reclaim notice. Batch tasks with checkpoints write one before the machine is
 * reclaimed, services move immediately, and replicas of several members move as a whole. Batch tasks without
 * checkpoints keep running, since stopping them early would save nothing. `now` is in seconds of the monotonic clock.
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
