/** Exchanges status frames with the peers. */
import type { Frame, StatusFrame, StatusReference } from '#peer';
import type { Cancellations } from './cancellations.js';
import { type PeerStatus, PeerStatusTable } from './peer-status.js';

/** What a controller states to all peers alike; the rest of a frame depends on its recipient. */
export type OwnStatus = Pick<
  StatusFrame,
  | 'servedAgoMs'
  | 'refused'
  | 'loaded'
  | 'leading'
  | 'mayLead'
  | 'newestLeader'
  | 'unreachable'
  | 'followerHeartbeats'
  | 'jobsRevision'
>;

/** What the exchange is made of. */
export interface StatusExchangeOptions {
  /** Tells this run of the process from earlier ones; 0 to Number.MAX_SAFE_INTEGER. */
  incarnation: number;
  /** Names of all other controllers. */
  peers: readonly string[];
  cancellations: Cancellations;
  /** Sends a frame to one peer, if there is a connection to it. */
  sendTo: (peer: string, frame: Frame) => void;
}

/**
 * Tells each peer how the state service serves this controller and which cancellations it knows, and
 * keeps what the peers state. Cancellations go into each frame, not only into frames of their own, so
 * that a statement that arrives is complete whatever was lost before.
 */
export class StatusExchange {
  private readonly table: PeerStatusTable;

  constructor(private readonly options: StatusExchangeOptions) {
    this.table = new PeerStatusTable(options.incarnation, options.peers);
  }

  /** The latest statement of each peer, null where none has arrived. */
  statuses(): (PeerStatus | null)[] {
    return this.table.all();
  }

  /** The latest statement of one peer; null if none has arrived, or if it is no peer. */
  statusOf(peer: string): PeerStatus | null {
    return this.table.get(peer) ?? null;
  }

  /** Sends one round of status frames, one to each peer. `now` is steady seconds. */
  send(own: OwnStatus, now: number): void {
    const reference = this.table.beginRound(now);
    for (const peer of this.options.peers) {
      this.options.sendTo(peer, this.frameFor(peer, own, reference, now));
    }
  }

  /** Accepts a peer's frame; its cancellations count however late it arrives. */
  receive(peer: string, frame: StatusFrame, now: number): void {
    for (const notice of frame.cancelled) {
      this.options.cancellations.addFromPeer(notice, now);
    }
    this.table.accept(peer, frame, now);
  }

  private frameFor(
    peer: string,
    own: OwnStatus,
    reference: StatusReference,
    now: number,
  ): StatusFrame {
    const known = this.table.get(peer)?.frame.jobsRevision ?? 0;
    const { since, cancelled } = this.options.cancellations.listSince(known, now);
    return {
      kind: 'status',
      ...own,
      ...reference,
      echo: this.table.echoFor(peer),
      cancelledSince: since,
      cancelled,
    };
  }
}
