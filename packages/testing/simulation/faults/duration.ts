/** Duration of faults. */
import type { Fault } from '../scenario.js';

/** Longest delay of a delayed transaction, cloud request, heartbeat or command if the fault sets no `delayS`. */
const MAX_DELAY_S = 30;

/** Seconds from the start of a fault until the fault and its direct effects have ended. */
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
    case 'repeated-commands':
    case 'repeated-writes':
    case 'repeated-rentals':
      return fault.forS + (fault.delayS?.[1] ?? MAX_DELAY_S);
    default:
      return fault.forS;
  }
}
