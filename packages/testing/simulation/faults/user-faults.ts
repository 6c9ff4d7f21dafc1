/** What users do during a fault. */
import type { Users, WorldState } from '../../stand-ins/index.js';
import type { Machines, SimulatedMachine } from '../machines.js';
import type { UserFault } from '../scenario.js';
import type { World } from '../world.js';
import { makeEffect, type FaultEffect } from './effect.js';

/** Machines of cancelled jobs that hang at the most. */
const MAX_HUNG_MACHINES = 8;

/** What faults of users act on. */
export interface UserFaultContext {
  world: World;
  users: Users;
  machines: Machines;
  /** Where everything really is. */
  worldState: WorldState;
  /** Makes machines stand still; the returned function lets them go on. */
  hang: (machines: SimulatedMachine[]) => () => void;
}

/** What users do beyond submitting and asking. */
export function beginUserFault(context: UserFaultContext, fault: UserFault): FaultEffect {
  const { users } = context;
  switch (fault.kind) {
    case 'cancel-now':
      return cancelNow(context, fault);
    case 'cancel-at-end':
      users.setCancelAtEnd(fault.share);
      return makeEffect({
        end: () => {
          users.setCancelAtEnd(0);
        },
      });
    case 'odd-requests':
      users.setOddRequests(true);
      return makeEffect({
        end: () => {
          users.setOddRequests(false);
        },
      });
    case 'close-looks':
      users.setPollBursts(true);
      return makeEffect({
        end: () => {
          users.setPollBursts(false);
        },
      });
  }
}

function cancelNow(
  { world, users, machines, worldState, hang }: UserFaultContext,
  { count, hangS }: UserFault & { kind: 'cancel-now' },
): FaultEffect {
  const hit = [...new Set(users.cancelNow(count, worldState))];
  if (hangS !== undefined) {
    const hanging = hit.slice(0, MAX_HUNG_MACHINES).map((name) => machines.get(name));
    const end = hang(hanging.filter((machine) => machine !== undefined));
    world.schedule(hangS, end);
  }
  return makeEffect({ machines: hit });
}
