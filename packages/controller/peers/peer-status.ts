import type { StatusFrame, StatusReference } from '#peer';

/** Status rounds whose sending time is kept; older echoes say nothing of use. */
const ROUNDS_KEPT = 64;
/** Former lives of a peer that are remembered, so that what they still have under way is known as old. */
const INCARNATIONS_KEPT = 16;

/** What a peer last stated, with the times at which that was so; steady seconds of this process. */
export interface PeerStatus {
  frame: StatusFrame;
  /** When the frame arrived. The network may have held it for long. */
  receivedAt: number;
  /**
   * The peer surely made the statement after this moment: it had read a status frame that this
   * process sent then. -Infinity if it has read none.
   */
  asOf: number;
  /** When the state service last served the peer, or later. */
  servedAt: number;
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
    /** Tells this process from its earlier lives. */
    private readonly incarnation: number,
    private readonly peers: readonly string[],
  ) {}

  /** Opens a round of status frames; all of them carry the reference returned. */
  beginRound(now: number): StatusReference {
    this.sequence++;
    this.sentAt.set(this.sequence, now);
    this.sentAt.delete(this.sequence - ROUNDS_KEPT);
    return { incarnation: this.incarnation, sequence: this.sequence };
  }

  /** What a frame to this peer echoes. */
  echoFor(peer: string): StatusReference | null {
    const frame = this.statuses.get(peer)?.frame;
    return frame ? { incarnation: frame.incarnation, sequence: frame.sequence } : null;
  }

  /** Takes a frame in; false if it is older than what is known of the peer. */
  accept(peer: string, frame: StatusFrame, now: number): boolean {
    const known = this.statuses.get(peer)?.frame;
    if (known?.incarnation === frame.incarnation) {
      if (frame.sequence <= known.sequence) return false;
    } else if (known && !this.beginIncarnation(peer, known.incarnation, frame.incarnation))
      return false;
    this.statuses.set(peer, {
      frame,
      receivedAt: now,
      asOf: this.whenSent(frame.echo),
      servedAt: now - frame.servedAgoMs / 1000,
    });
    return true;
  }

  get(peer: string): PeerStatus | undefined {
    return this.statuses.get(peer);
  }

  /** One entry for each peer that the settings name; null if it was never heard. */
  all(): (PeerStatus | null)[] {
    return this.peers.map((peer) => this.statuses.get(peer) ?? null);
  }

  /** Whether the frame's life is a new one of the peer. */
  private beginIncarnation(peer: string, last: number, next: number): boolean {
    const former = this.formerIncarnations.get(peer) ?? [];
    if (former.includes(next)) return false;
    this.formerIncarnations.set(peer, [...former, last].slice(-INCARNATIONS_KEPT));
    return true;
  }

  private whenSent(echo: StatusReference | null): number {
    if (echo === null || echo.incarnation !== this.incarnation) return -Infinity;
    return this.sentAt.get(echo.sequence) ?? -Infinity;
  }
}
