/** Faults of the messages between workers and controllers. */
import type { Machines } from '../machines.js';
import type { MessageFault } from '../scenario.js';
import { makeEffect, type FaultEffect } from './effect.js';

/** When copies of heartbeats and held direct commands arrive, in seconds, unless told otherwise. */
const HEARTBEAT_DELAY_S: [number, number] = [2, 30];
const COMMAND_DELAY_S: [number, number] = [2, 16];

/** Messages between workers and controllers that arrive late. */
export function beginMessageFault(machines: Machines, fault: MessageFault): FaultEffect {
  const { share } = fault;
  if (fault.kind === 'late-commands') {
    machines.lateCommands.begin({ share, delayS: fault.delayS ?? COMMAND_DELAY_S });
    return makeEffect({
      end: () => {
        machines.lateCommands.end();
      },
    });
  }
  if (fault.forNextLeader) machines.lateHeartbeats.begin({ share, forNextLeader: true });
  else machines.lateHeartbeats.begin({ share, delayS: fault.delayS ?? HEARTBEAT_DELAY_S });
  return makeEffect({
    end: () => {
      machines.lateHeartbeats.end();
    },
  });
}
