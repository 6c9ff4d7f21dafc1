/** Faults of messages between workers and controllers. */
import type { Machines } from '../machines.js';
import type { MessageFault } from '../scenario.js';
import { makeEffect, type FaultEffect } from './effect.js';
import { repeatRequests } from './repeated-requests.js';

/** Default ranges of the delay of heartbeat copies and of late direct commands, in seconds. */
const HEARTBEAT_DELAY_S: [number, number] = [2, 30];
const COMMAND_DELAY_S: [number, number] = [2, 16];

/** Begins a fault that delays or repeats messages between workers and controllers. */
export function beginMessageFault(machines: Machines, fault: MessageFault): FaultEffect {
  if (fault.kind === 'repeated-commands') return repeatRequests(machines.repeatedCommands, fault);
  const { share, delayS } = fault;
  const { lateCommands, lateHeartbeats } = machines;
  if (fault.kind === 'late-commands') {
    lateCommands.begin({ share, delayS: delayS ?? COMMAND_DELAY_S });
    return makeEffect({
      end: () => {
        lateCommands.end();
      },
    });
  }
  if (fault.forNextLeader) lateHeartbeats.begin({ share, forNextLeader: true });
  else lateHeartbeats.begin({ share, delayS: delayS ?? HEARTBEAT_DELAY_S });
  return makeEffect({
    end: () => {
      lateHeartbeats.end();
    },
  });
}
