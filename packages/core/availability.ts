import type { Machine } from './model.js';

/** Whether the machine is up and will stay, and its record has room for another task. */
export function canTakeTasks(machine: Machine, maxTasksPerMachine: number): boolean {
  return (
    machine.state === 'up' &&
    !machine.draining &&
    machine.reclaimAt === null &&
    !machine.failedInList &&
    machine.tasks.size < maxTasksPerMachine
  );
}

/** Whether new tasks may be placed on the machine now. */
export function isUsable(machine: Machine, maxTasksPerMachine: number, now: number): boolean {
  return machine.avoidUntil <= now && canTakeTasks(machine, maxTasksPerMachine);
}
