/** The newest statement of each peer, ordered by what the frames say and not by their arrival. */
import type { StatusFrame, StatusReference } from '#peer';

/** Status rounds whose sending time is kept; echoes of older ones are of no use. */
const ROUNDS_KEPT = 64;
/** Former incarnations of a peer that are remembered, so that their late frames are known as old. */
const INCARNATIONS_KEPT = 16;

/** A peer's newest statement and what is known of its age; steady seconds of this process. */
export interface PeerStatus {
  frame: StatusFrame;
  /** When the frame arrived. The network may have held it for long. */
  receivedAt: number;
  /**
   * The peer surely made the statement after this moment: it had read a status frame that this
   * process sent then. -Infinity if it has read none.
   */
  statedAfter: number;
  /** No earlier than when the state service last served the peer. */
  lastServedAt: number;
}

/** Heartbeat intervals for which a peer's newest statement counts as current. */
export const CURRENT_STATUS_INTERVALS = 2;

/** Whether the peer's newest statement arrived within the last `withinS` seconds. */
export function isReachable(
  status: PeerStatus | null,
  now: number,
  withinS: number,
): status is PeerStatus {
  return status !== null && now - status.receivedAt <= withinS;
}

/**
 * The newest statement of each peer. A connection that was cut may deliver old frames late, so frames
 * count by their own order and by what they echo, not by when they arrive.
 */
export class PeerStatusTable {
  private readonly statuses = new Map<string, PeerStatus>();
  private readonly formerIncarnations = new Map<string, number[]>();
  /** Sending time of each of our latest rounds, by sequence. */
  private readonly sentAt = new Map<number, number>();
  private sequence = 0;

  constructor(
    /** Tells this run of the process from earlier ones. */
    private readonly incarnation: number,
    private readonly peers: readonly string[],
  ) {}

  /** Begins a round of status frames; all of them carry the reference that is returned. */
  beginRound(now: number): StatusReference {
    this.sequence++;
    this.sentAt.set(this.sequence, now);
    this.sentAt.delete(this.sequence - ROUNDS_KEPT);
    return { incarnation: this.incarnation, sequence: this.sequence };
  }

  /** The peer's newest frame that was read, which the next frame to the peer echoes. */
  echoFor(peer: string): StatusReference | null {
    const frame = this.statuses.get(peer)?.frame;
    return frame ? { incarnation: frame.incarnation, sequence: frame.sequence } : null;
  }

  /** Accepts a frame; false if it is older than what is known of the peer. */
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

  /** The newest statement of one peer. */
  get(peer: string): PeerStatus | undefined {
    return this.statuses.get(peer);
  }

  /** One entry for each peer that the settings name; null if none has arrived. */
  all(): (PeerStatus | null)[] {
    return this.peers.map((peer) => this.statuses.get(peer) ?? null);
  }

  /** Whether a frame is newer than the known one: by its sequence, or by its incarnation. */
  private isNewer(peer: string, known: StatusFrame, frame: StatusFrame): boolean {
    if (known.incarnation === frame.incarnation) return frame.sequence > known.sequence;
    return this.beginIncarnation(peer, known.incarnation, frame.incarnation);
  }

  /** Records that the peer has a new incarnation; false if it is a former one. */
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
