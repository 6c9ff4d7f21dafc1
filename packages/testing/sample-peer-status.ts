import type { PeerStatus } from '#controller';
import type { StatusFrame } from '#peer';

/** When the state service last served the peer; seconds of the monotonic clock. */
const LAST_SERVED_AT = 10;
/** Time from sending a status frame to a peer to receiving the status with which it confirms the frame. */
const ROUND_TRIP_S = 0.5;

/**
 * A peer's status, received at second `at`. The state service has refused the peer since second 10. The peer knows
 * all cancellations and has seen the leader `c-0` of term 50.
 */
export function makePeerStatus(at: number, frame: Partial<StatusFrame> = {}): PeerStatus {
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
      newestLeader: { term: STATUS_LEADER_TERM, name: 'c-0' },
      unreachable: false,
      followerHeartbeats: 0,
      newestFencingToken: 0,
      jobsRevision: 100,
      cancelledSince: 100,
      cancelled: [],
      ...frame,
    },
  };
}

/** The term of the newest leader in the status. */
export const STATUS_LEADER_TERM = 50;
