/** Faults of messages between workers and controllers. */
import type { Machines } from '../machines.js';
import type { MessageFault } from '../scenario.js';
import { makeEffect, type FaultEffect } from './effect.js';

/** Default ranges of the delay of heartbeat copies, late direct commands and copies of commands, in seconds. */
const HEARTBEAT_DELAY_S: [number, number] = [2, 30];
const COMMAND_DELAY_S: [number, number] = [2, 16];
const COMMAND_COPY_DELAY_S: [number, number] = [0.2, 16];

/** Begins a fault that delays or repeats messages between workers and controllers. */
export function beginMessageFault(machines: Machines, fault: MessageFault): FaultEffect {
  const messages = beginFaultOf(machines, fault);
  return makeEffect({
    end: () => {
      messages.end();
    },
  });
}

/** Begins the fault and returns the messages that it affects. */
function beginFaultOf(machines: Machines, fault: MessageFault): { end(): void } {
  const { share, delayS } = fault;
  const { lateCommands, repeatedCommands, lateHeartbeats } = machines;
  switch (fault.kind) {
    case 'late-commands':
      lateCommands.begin({ share, delayS: delayS ?? COMMAND_DELAY_S });
      return lateCommands;
    case 'repeated-commands':
      repeatedCommands.begin({ share, delayS: delayS ?? COMMAND_COPY_DELAY_S });
      return repeatedCommands;
    case 'late-reports':
      if (fault.forNextLeader) lateHeartbeats.begin({ share, forNextLeader: true });
      else lateHeartbeats.begin({ share, delayS: delayS ?? HEARTBEAT_DELAY_S });
      return lateHeartbeats;
  }
}
