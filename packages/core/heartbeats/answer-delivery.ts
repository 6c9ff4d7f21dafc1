/** Detects machines whose heartbeats arrive while the answers to them are lost. */
import type { Heartbeat } from '#wire';
import type { Machine } from '../model/entities.js';

/** In heartbeat intervals: after a longer gap between heartbeats, the check ignores those before the gap. */
const MAX_ANSWER_GAP_INTERVALS = 4;
/** In heartbeat intervals: how long heartbeats may carry an old fencing token before the machine is cordoned. */
const MAX_OLD_FENCING_TOKEN_INTERVALS = 2;

/** Settings of the check that answers reach a worker. */
export interface DeliverySettings {
  /** Seconds. */
  leaseS: number;
  /** Seconds. */
  heartbeatIntervalS: number;
  /** The lowest fencing token that answers carry. */
  term: number;
}

/**
 * Cordons a machine whose heartbeats arrive while the answers to them are lost, since tasks placed on it would not
 * start. Answers count as lost if heartbeats keep carrying an old fencing token, or if the worker's lease expired
 * although its heartbeats were answered.
 */
export function checkAnswerDelivery(
  machine: Machine,
  heartbeat: Heartbeat,
  settings: DeliverySettings,
  now: number,
): void {
  const { leaseS, heartbeatIntervalS, term } = settings;
  // After a network partition, delayed heartbeats arrive together, followed by one of a new agent epoch.
  // Such a sequence does not show that answers are lost.
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
