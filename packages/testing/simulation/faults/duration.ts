import type { Fault } from '../scenario.js';

/** A transaction, report or command that is held up is carried out within this time. */
const LONGEST_DELAY_S = 30;

/** When a fault and all that follows directly from it is over, in simulated seconds. */
export function faultEndS(fault: Fault, controllers: number): number {
  switch (fault.kind) {
    case 'controller-crash':
      return fault.atS + fault.downS;
    case 'controller-roll':
      return fault.atS + (controllers - 1) * fault.intervalS + fault.downS;
    case 'machine-death':
      return fault.atS;
    case 'machine-taken':
      return fault.atS + 2 * (fault.noticeS ?? 0);
    case 'cancel-now':
      return fault.atS + (fault.hangS ?? 0);
    case 'late-writes':
    case 'late-rentals':
    case 'late-reports':
    case 'late-commands':
      return fault.atS + fault.forS + (fault.delayS?.[1] ?? LONGEST_DELAY_S);
    default:
      return fault.atS + fault.forS;
  }
}
