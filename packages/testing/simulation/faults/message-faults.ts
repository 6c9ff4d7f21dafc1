/** Faults of the messages between workers and controllers. */
import type { Machines } from '../machines.js';
import type { MessageFault } from '../scenario.js';
import { effect, type FaultEffect } from './effect.js';

/** When copies of heartbeats and held direct commands arrive, in seconds, unless told otherwise. */
const LATE_HEARTBEAT_S: [number, number] = [2, 30];
const LATE_COMMAND_S: [number, number] = [2, 16];

/** Messages between workers and controllers that arrive late. */
export function beginMessageFault(machines: Machines, fault: MessageFault): FaultEffect {
  const { share } = fault;
  if (fault.kind === 'late-commands') {
    machines.lateCommands.begin({ share, delayS: fault.delayS ?? LATE_COMMAND_S });
    return effect({
      end: () => {
        machines.lateCommands.end();
      },
    });
  }
  if (fault.forNextLeader) machines.lateHeartbeats.begin({ share, forNextLeader: true });
  else machines.lateHeartbeats.begin({ share, delayS: fault.delayS ?? LATE_HEARTBEAT_S });
  return effect({
    end: () => {
      machines.lateHeartbeats.end();
    },
  });
}
