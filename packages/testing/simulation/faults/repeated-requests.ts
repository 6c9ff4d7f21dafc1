/** Begins faults in which requests that were executed and answered arrive once more. */
import type { RequestFault } from '../../stand-ins/index.js';
import { makeEffect, type FaultEffect } from './effect.js';

/** Default range of the delay of copies, in seconds. */
const COPY_DELAY_S: [number, number] = [0.2, 16];

/** Begins the fault for the given requests. */
export function repeatRequests(
  requests: RequestFault,
  { share, delayS }: { share: number; delayS?: [least: number, most: number] },
): FaultEffect {
  requests.begin({ share, delayS: delayS ?? COPY_DELAY_S });
  return makeEffect({
    end: () => {
      requests.end();
    },
  });
}
