import type { PeerStatus } from '#controller';
import type { StatusFrame } from '#peer';

/** When the state service served the peer last. */
const LAST_SERVED_AT = 10;
/** From the sending of what a peer has read last to its answer. */
const ROUND_TRIP_S = 0.5;

/**
 * What a peer states at second `at` that the state service has refused since second 10, that knows all
 * cancellations, and that has seen the owner `c-0` of term 50.
 */
export function aPeerStatus(at: number, frame: Partial<StatusFrame> = {}): PeerStatus {
  return {
    receivedAt: at,
    statedAfter: at - ROUND_TRIP_S,
    lastServedAt: LAST_SERVED_AT,
    frame: {
      kind: 'status',
      incarnation: 1,
      sequence: 1,
      echo: null,
      servedAgoMs: 0,
      refused: true,
      loaded: true,
      leading: false,
      mayLead: false,
      newestLeader: { term: STATED_TERM, name: 'c-0' },
      unreachable: false,
      followerHeartbeats: 0,
      jobsRevision: 100,
      cancelledSince: 100,
      cancelled: [],
      ...frame,
    },
  };
}

/** The term of the newest owner that such a peer has seen. */
export const STATED_TERM = 50;
