/** Faults of messages between workers and controllers. */
import type { Machines } from '../machines.js';
import type { MessageFault } from '../scenario.js';
import { makeEffect, type FaultEffect } from './effect.js';

/** Default range of the delay of heartbeat copies and of late direct commands, in seconds. */
const HEARTBEAT_DELAY_S: [number, number] = [2, 30];
const COMMAND_DELAY_S: [number, number] = [2, 16];

/** Begins a fault that delays messages between workers and controllers. */
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
