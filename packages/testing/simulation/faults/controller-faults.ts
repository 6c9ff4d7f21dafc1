/** Faults of controllers: network cuts, crashes, freezes and rolling restarts. */
import type { SimulatedController } from '../controllers.js';
import type { SimulatedNetwork } from '../network.js';
import type { ControllerFault } from '../scenario.js';
import type { World } from '../world.js';
import { makeEffect, type FaultEffect } from './effect.js';
import { cutFrom } from './link-faults.js';
import { type Roles, targetControllers } from './targets.js';

/** Objects on which faults of controllers act. */
export interface ControllerFaultContext {
  world: World;
  network: SimulatedNetwork;
  controllers: SimulatedController[];
  /** Current leader, and source and target of the migration. */
  roles: Roles;
}

/** Begins the fault; its target controllers are chosen at this moment. */
export function beginControllerFault(
  context: ControllerFaultContext,
  fault: ControllerFault,
): FaultEffect {
  const { network, controllers, roles } = context;
  if (fault.kind === 'controller-roll') return restartInTurn(context, fault);
  if (fault.kind === 'peers-cut') {
    const hosts = controllers.map((c) => c.host);
    return makeEffect({
      controllers: names(controllers),
      end: cutFrom(network, hosts, ['controllers'], fault.mode),
    });
  }
  const hit = targetControllers(controllers, fault.controllers, roles);
  switch (fault.kind) {
    case 'controller-cut': {
      const hosts = hit.map((c) => c.host);
      const end = cutFrom(network, hosts, fault.from, fault.mode);
      return makeEffect({ controllers: names(hit), end });
    }
    case 'controller-crash':
      for (const c of hit) c.process.restart(fault.downS, fault.silent ? 'silent' : 'reset');
      return makeEffect({ controllers: names(hit) });
    case 'controller-freeze':
      for (const c of hit) c.process.freeze(fault.forS);
      return makeEffect({ controllers: names(hit) });
  }
}

function restartInTurn(
  { world, controllers, roles }: ControllerFaultContext,
  { downS, intervalS }: ControllerFault & { kind: 'controller-roll' },
): FaultEffect {
  const followers = targetControllers(controllers, 'followers', roles);
  const leader = targetControllers(controllers, 'leader', roles);
  [...followers, ...leader].forEach((controller, position) => {
    world.schedule(position * intervalS, () => {
      controller.process.restart(downS);
    });
  });
  return makeEffect({ controllers: names(controllers) });
}

function names(controllers: SimulatedController[]): string[] {
  return controllers.map((c) => c.name);
}
