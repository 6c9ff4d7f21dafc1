/** Exchanges status frames with the peers. */
import type { Frame, StatusFrame, StatusReference } from '#peer';
import type { Cancellations } from './cancellations.js';
import { type PeerStatus, PeerStatusTable } from './peer-status.js';

/** The fields of a status frame that are the same for all recipients. */
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
  | 'newestFencingToken'
  | 'jobsRevision'
>;

/** Dependencies of a `StatusExchange`. */
export interface StatusExchangeOptions {
  /** Distinguishes this run of the process from earlier ones; 0 to Number.MAX_SAFE_INTEGER. */
  incarnation: number;
  /** Names of all other controllers. */
  peers: readonly string[];
  cancellations: Cancellations;
  /** Sends a frame to one peer, if there is a connection to it. */
  sendTo: (peer: string, frame: Frame) => void;
}

/**
 * Sends this controller's status to each peer: whether the state service serves it and which cancellations it
 * knows. Keeps the statuses of the peers. Every status frame lists the cancellations, in addition to separate
 * cancellation frames, so that a status that arrives is complete even if earlier frames were lost.
 */
export class StatusExchange {
  private readonly table: PeerStatusTable;

  constructor(private readonly options: StatusExchangeOptions) {
    this.table = new PeerStatusTable(options.incarnation, options.peers);
  }

  /** The latest status of each peer; null where none has arrived. */
  statuses(): (PeerStatus | null)[] {
    return this.table.all();
  }

  /** The latest status of a peer; null if none has arrived, or if the settings name no such peer. */
  statusOf(peer: string): PeerStatus | null {
    return this.table.get(peer) ?? null;
  }

  /** Sends one round of status frames, one to each peer. `now` is in seconds of the monotonic clock. */
  send(own: OwnStatus, now: number): void {
    const reference = this.table.beginRound(now);
    for (const peer of this.options.peers) {
      this.options.sendTo(peer, this.frameFor(peer, own, reference, now));
    }
  }

  /** Accepts a peer's status frame; cancellations count however late the frame arrives. */
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
