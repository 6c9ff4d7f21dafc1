import type { FleetState, Scheduler } from '#core';

/** What can be saved is saved before the cloud takes a machine that it gave notice of; services move at once. */
export function stopOnNotices(book: FleetState, scheduler: Scheduler, now: number): void {
  for (const machine of book.machines.values()) {
    if (machine.noticeAt === null) continue;
    for (const task of machine.tasks.values()) {
      const { checkpointS, kind } = task.job.job;
      const worthStopping = checkpointS > 0 || kind === 'service';
      if (task.stop === null && worthStopping) scheduler.stopOrderly(task, now);
    }
  }
}
