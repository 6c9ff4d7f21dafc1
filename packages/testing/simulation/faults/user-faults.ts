/** Unusual behaviour of users during a run. */
import type { Users, WorldState } from '../../stand-ins/index.js';
import type { Machines, SimulatedMachine } from '../machines.js';
import type { UserFault } from '../scenario.js';
import type { World } from '../world.js';
import { makeEffect, type FaultEffect } from './effect.js';

/** Maximum number of machines of cancelled jobs that hang. */
const MAX_HUNG_MACHINES = 8;

/** Objects on which faults of users act. */
export interface UserFaultContext {
  world: World;
  users: Users;
  machines: Machines;
  /** True state of jobs and machines, from the events of the stand-ins. */
  worldState: WorldState;
  /** Makes machines hang; the returned function resumes them. */
  hang: (machines: SimulatedMachine[]) => () => void;
}

/** Begins behaviour of users beyond submitting jobs and polling them. */
export function beginUserFault(context: UserFaultContext, fault: UserFault): FaultEffect {
  const { users } = context;
  switch (fault.kind) {
    case 'cancel-now':
      return cancelNow(context, fault);
    case 'cancel-at-end':
      users.setCancelAtEndShare(fault.share);
      return makeEffect({
        end: () => {
          users.setCancelAtEndShare(0);
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
  const hit = [...new Set(users.cancelRunningJobs(count, worldState))];
  if (hangS !== undefined) {
    const hanging = hit.slice(0, MAX_HUNG_MACHINES).map((name) => machines.get(name));
    const end = hang(hanging.filter((machine) => machine !== undefined));
    world.schedule(hangS, end);
  }
  return makeEffect({ machines: hit });
}
