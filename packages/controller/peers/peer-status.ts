/** The newest status of each peer, ordered by the sequence numbers in the frames and not by arrival. */
import type { StatusFrame, StatusReference } from '#peer';

/** Status rounds whose sending time is kept; echoes of older rounds prove nothing of use. */
const ROUNDS_KEPT = 64;
/** Former incarnations of a peer that are kept, so that their delayed frames are recognised as old. */
const INCARNATIONS_KEPT = 16;

/** A peer's newest status and bounds on its age. Times are in seconds of this process's monotonic clock. */
export interface PeerStatus {
  frame: StatusFrame;
  /** When the frame arrived. The network may have delayed the frame for a long time. */
  receivedAt: number;
  /**
   * The peer certainly stated its status after this moment: the frame echoes a status frame that this
   * process sent then. -Infinity if the frame echoes none.
   */
  statedAfter: number;
  /** Upper bound of the time at which the state service last served the peer. */
  lastServedAt: number;
}

/** Heartbeat intervals for which a peer's newest status counts as current. */
export const CURRENT_STATUS_INTERVALS = 2;

/** Whether the peer's newest status arrived within the last `withinS` seconds. */
export function isReachable(
  status: PeerStatus | null,
  now: number,
  withinS: number,
): status is PeerStatus {
  return status !== null && now - status.receivedAt <= withinS;
}

/**
 * Keeps the newest status of each peer. An interrupted connection may deliver old frames late, so frames are
 * ordered by their sequence numbers and dated by the frame that they echo, not by arrival.
 */
export class PeerStatusTable {
  private readonly statuses = new Map<string, PeerStatus>();
  private readonly formerIncarnations = new Map<string, number[]>();
  /** Sending time of each of the latest `ROUNDS_KEPT` rounds, by sequence. */
  private readonly sentAt = new Map<number, number>();
  private sequence = 0;

  constructor(
    /** Distinguishes this run of the process from earlier ones. */
    private readonly incarnation: number,
    private readonly peers: readonly string[],
  ) {}

  /** Begins a round of status frames; all frames of the round carry the returned reference. */
  beginRound(now: number): StatusReference {
    this.sequence++;
    this.sentAt.set(this.sequence, now);
    this.sentAt.delete(this.sequence - ROUNDS_KEPT);
    return { incarnation: this.incarnation, sequence: this.sequence };
  }

  /** The newest frame read from the peer, which the next frame to the peer echoes. */
  echoFor(peer: string): StatusReference | null {
    const frame = this.statuses.get(peer)?.frame;
    return frame ? { incarnation: frame.incarnation, sequence: frame.sequence } : null;
  }

  /** Accepts a frame; false if the frame is older than the peer's newest status. */
  accept(peer: string, frame: StatusFrame, now: number): boolean {
    const known = this.statuses.get(peer)?.frame;
    if (known && !this.isNewer(peer, known, frame)) return false;
    this.statuses.set(peer, {
      frame,
      receivedAt: now,
      statedAfter: this.whenSent(frame.echo),
      lastServedAt: now - frame.servedAgoMs / 1000,
    });
    return true;
  }

  /** The newest status of one peer. */
  get(peer: string): PeerStatus | undefined {
    return this.statuses.get(peer);
  }

  /** The newest status of each peer in the settings; null if none has arrived. */
  all(): (PeerStatus | null)[] {
    return this.peers.map((peer) => this.statuses.get(peer) ?? null);
  }

  /** Whether a frame is newer than the known one: by its sequence, or by a new incarnation. */
  private isNewer(peer: string, known: StatusFrame, frame: StatusFrame): boolean {
    if (known.incarnation === frame.incarnation) return frame.sequence > known.sequence;
    return this.beginIncarnation(peer, known.incarnation, frame.incarnation);
  }

  /** Records the peer's new incarnation; false if `next` is a former incarnation. */
  private beginIncarnation(peer: string, last: number, next: number): boolean {
    const former = this.formerIncarnations.get(peer) ?? [];
    if (former.includes(next)) return false;
    this.formerIncarnations.set(peer, [...former, last].slice(-INCARNATIONS_KEPT));
    return true;
  }

  private whenSent(echo: StatusReference | null): number {
    if (echo?.incarnation !== this.incarnation) return -Infinity;
    return this.sentAt.get(echo.sequence) ?? -Infinity;
  }
}
