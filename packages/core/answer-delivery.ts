import type { Report } from '#wire';
import type { Machine } from './model.js';

/** In report periods: a gap in the reports after which nothing is concluded from what was before it. */
const GAP = 4;
/** In report periods: how long reports may show an old token before the machine counts as unreachable. */
const UNHEARD = 2;

export interface DeliverySettings {
  leaseS: number;
  reportS: number;
  term: number;
}

/**
 * Avoids a machine whose reports come while our answers don't reach it: it shows an old token again and
 * again, or its lease ran out though we answered. What would be placed there would not start.
 */
export function checkAnswerDelivery(
  machine: Machine,
  report: Report,
  { leaseS, reportS, term }: DeliverySettings,
  now: number,
): void {
  // After a cut held reports arrive at once, and then a new session: that says nothing of answers.
  if (now - machine.answeredAt > GAP * reportS) machine.answeredSince = now;
  const showsOldToken = report.token < term && machine.answeredSince < now;
  machine.oldTokenSince = showsOldToken ? (machine.oldTokenSince ?? now) : null;
  const unheard =
    machine.oldTokenSince !== null && now - machine.oldTokenSince >= UNHEARD * reportS;
  const leaseRanOut = report.session > machine.session && now - machine.answeredSince >= leaseS;
  if (leaseRanOut || unheard) machine.avoidUntil = Math.max(machine.avoidUntil, now + leaseS);
}
