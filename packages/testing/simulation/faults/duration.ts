/** How long faults last. */
import type { Fault } from '../scenario.js';

/** A transaction, heartbeat or command that is held up is carried out within this time. */
const MAX_DELAY_S = 30;

/** Seconds from the beginning of a fault until it and all that follows directly from it are over. */
export function faultLengthS(fault: Fault, controllers: number): number {
  switch (fault.kind) {
    case 'controller-crash':
      return fault.downS;
    case 'controller-roll':
      return (controllers - 1) * fault.intervalS + fault.downS;
    case 'machine-death':
    case 'state-limits':
      return 0;
    case 'machine-taken':
      return 2 * (fault.noticeS ?? 0);
    case 'cancel-now':
      return fault.hangS ?? 0;
    case 'late-writes':
    case 'late-rentals':
    case 'late-reports':
    case 'late-commands':
      return fault.forS + (fault.delayS?.[1] ?? MAX_DELAY_S);
    default:
      return fault.forS;
  }
}
