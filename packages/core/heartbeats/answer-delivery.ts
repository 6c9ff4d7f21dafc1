import type { Heartbeat } from '#wire';
import type { Machine } from '../model/model.js';

/** In report periods: a gap in the reports after which nothing is concluded from what was before it. */
const GAP = 4;
/** In report periods: how long reports may show an old token before the machine counts as unreachable. */
const UNDELIVERED = 2;

/** Durations in seconds; `term` is the lowest token that answers carry. */
export interface DeliverySettings {
  leaseS: number;
  heartbeatIntervalS: number;
  term: number;
}

/**
 * Avoids a machine whose reports come while our answers don't reach it: it shows an old token again and
 * again, or its lease ran out though we answered. What would be placed there would not start.
 */
export function checkAnswerDelivery(
  machine: Machine,
  heartbeat: Heartbeat,
  { leaseS, heartbeatIntervalS, term }: DeliverySettings,
  now: number,
): void {
  // After a cut held reports arrive at once, and then a new session: that says nothing of answers.
  if (now - machine.answeredAt > GAP * heartbeatIntervalS) machine.answeredSince = now;
  const showsOldFencingToken = heartbeat.fencingToken < term && machine.answeredSince < now;
  machine.oldFencingTokenSince = showsOldFencingToken
    ? (machine.oldFencingTokenSince ?? now)
    : null;
  const undelivered =
    machine.oldFencingTokenSince !== null &&
    now - machine.oldFencingTokenSince >= UNDELIVERED * heartbeatIntervalS;
  const leaseRanOut =
    heartbeat.agentEpoch > machine.agentEpoch && now - machine.answeredSince >= leaseS;
  if (leaseRanOut || undelivered)
    machine.cordonedUntil = Math.max(machine.cordonedUntil, now + leaseS);
}
