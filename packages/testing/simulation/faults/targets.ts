/** Chooses the controllers and machines that a fault hits. */
import type { SeededRandom } from '../../random.js';
import type { MigrationPhases } from '../migration-phases.js';
import type { SimulatedController } from '../controllers.js';
import type { ControllerTarget, MachineTarget } from '../scenario.js';

/** Leader of the shard, and source and target of its migration, when a fault begins. */
export interface Roles {
  /** Name of the shard's leader; null if there is none. */
  leaderName: string | null;
  moves: Pick<MigrationPhases, 'source' | 'target'>;
}

/** Resolves a target to controllers by their current roles. */
export function targetControllers(
  controllers: SimulatedController[],
  target: ControllerTarget,
  { leaderName, moves }: Roles,
): SimulatedController[] {
  const leader = controllers.find((c) => c.name === leaderName) ?? controllers[0];
  const followers = controllers.filter((c) => c !== leader);
  if (Array.isArray(target)) return target.map((index) => controllers[index]);
  switch (target) {
    case 'leader':
      return [leader];
    case 'followers':
      return followers;
    case 'one-follower':
      return followers.slice(0, 1);
    case 'move-source':
      return controllers.filter((c) => c.name === moves.source);
    case 'move-target':
      return controllers.filter((c) => c.name === moves.target);
    case 'all':
      return controllers;
  }
}

/**
 * Resolves a target to running machines. A count or share of them is drawn at random; a share is rounded up, so that
 * at least one machine is hit if any is running.
 */
export function targetMachines<M extends { zone: string }>(
  running: M[],
  target: Exclude<MachineTarget, { ofReplica: number }>,
  chance: SeededRandom,
): M[] {
  if ('zone' in target) return running.filter((machine) => machine.zone === target.zone);
  const wanted = 'count' in target ? target.count : Math.ceil(target.share * running.length);
  const remaining = [...running];
  const drawn: M[] = [];
  while (drawn.length < wanted && remaining.length > 0) {
    drawn.push(...remaining.splice(chance.int(0, remaining.length - 1), 1));
  }
  return drawn;
}
