/** The invariants of the replica group model, and its accepted end states. */
import { phaseOf } from '#replicas';
import type { ReplicaModelState } from './state.js';

/** Name of an invariant that the state violates, or null. */
export function findViolation({
  leader,
  machines,
  hasBrokenAnswer,
}: ReplicaModelState): string | null {
  const { places, ending, members } = leader.group;
  const placed = new Set(places.map(({ member }) => member)).size;
  if (placed > 0 && placed < members && !ending) return 'incomplete generation kept';
  if (hasBrokenAnswer) return 'broken answer';
  const tasks = machines.flatMap(({ task }) => (task === null ? [] : [task]));
  if (new Set(tasks.map(({ generation }) => generation)).size > 1) return 'two generations';
  if (new Set(tasks.map(({ member }) => member)).size < tasks.length) return 'duplicate member';
  return null;
}

/** Whether the replica is whole by the leader's state and on the machines, with no former leader or request left. */
export function isQuiescent({ leader, former, machines, request }: ReplicaModelState): boolean {
  const running = machines.filter(({ task }) => task?.generation === leader.group.generation);
  const isWhole = phaseOf(leader.group) === 'whole' && running.length === leader.group.members;
  return isWhole && former === null && request === null;
}
