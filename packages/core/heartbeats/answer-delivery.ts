/** Finds machines whose heartbeats come while the answers to these don't reach them. */
import type { Heartbeat } from '#wire';
import type { Machine } from '../model/entities.js';

/** In heartbeat intervals: a gap after which nothing is concluded from the heartbeats before it. */
const MAX_ANSWER_GAP_INTERVALS = 4;
/** In heartbeat intervals: how long heartbeats may show an old fencing token before the machine is cordoned. */
const MAX_OLD_FENCING_TOKEN_INTERVALS = 2;

/** What the check of delivery works by. */
export interface DeliverySettings {
  /** Seconds. */
  leaseS: number;
  /** Seconds. */
  heartbeatIntervalS: number;
  /** The lowest fencing token that answers carry. */
  term: number;
}

/**
 * Cordons a machine whose heartbeats come while our answers don't reach it: it shows an old fencing token again and
 * again, or its lease expired though we answered. What would be placed there would not start.
 */
export function checkAnswerDelivery(
  machine: Machine,
  heartbeat: Heartbeat,
  settings: DeliverySettings,
  now: number,
): void {
  const { leaseS, heartbeatIntervalS, term } = settings;
  // After a cut, held heartbeats arrive at once, and then a new epoch: that proves nothing of answers.
  if (now - machine.answeredAt > MAX_ANSWER_GAP_INTERVALS * heartbeatIntervalS)
    machine.answeredSince = now;
  const showsOldFencingToken = heartbeat.fencingToken < term && machine.answeredSince < now;
  machine.oldFencingTokenSince = showsOldFencingToken
    ? (machine.oldFencingTokenSince ?? now)
    : null;
  const isUndelivered =
    machine.oldFencingTokenSince !== null &&
    now - machine.oldFencingTokenSince >= MAX_OLD_FENCING_TOKEN_INTERVALS * heartbeatIntervalS;
  const hasLeaseExpired =
    heartbeat.agentEpoch > machine.agentEpoch && now - machine.answeredSince >= leaseS;
  if (hasLeaseExpired || isUndelivered)
    machine.cordonedUntil = Math.max(machine.cordonedUntil, now + leaseS);
}
