/** Which controllers and machines a fault hits. */
import type { Chance } from '../../random.js';
import type { MigrationPhases } from '../migration-phases.js';
import type { SimulatedController } from '../controllers.js';
import type { ControllerTarget, MachineTarget } from '../scenario.js';

/** The leader at a moment, and source and target of the migration at that time. */
export interface Roles {
  /** The shard's leader; null if there is none. */
  leaderName: string | null;
  moves: Pick<MigrationPhases, 'source' | 'target'>;
}

/** Resolves a target to controllers, given their roles at that moment. */
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

/** Resolves a target to some of the running machines; at least one if there is any. */
export function targetMachines<M extends { zone: string }>(
  running: M[],
  target: Exclude<MachineTarget, { ofReplica: number }>,
  chance: Chance,
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
