import net from 'node:net';
import { Subject } from 'rxjs';
import { aborted, HostPort, Listener } from '#wire';
import { AcceptedConnections } from './accepted-connections.js';
import { DialledConnections, type DialOptions, type PeerAddress } from './dialled-connections.js';
import type { Frame } from './frames.js';

export interface PeerLinkOptions extends DialOptions {
  listen: HostPort;
  peers: PeerAddress[];
}

/** Connections that are taken for each controller: the present one and those that it replaces. */
const CONNECTIONS_PER_PEER = 4;

/**
 * Every controller dials every other and speaks on its own connection; what it hears comes on the
 * connections that the others dialled. Frames are advice: nothing durable depends on one arriving.
 */
export class PeerLink {
  readonly frames = new Subject<{ from: string; frame: Frame }>();
  /** When each peer was last heard; steady seconds. */
  private readonly lastReceived = new Map<string, number>();
  private readonly dialled: DialledConnections;
  private readonly listener: Listener;

  constructor(private readonly options: PeerLinkOptions) {
    const { runtime, peers, retryMs } = options;
    this.dialled = new DialledConnections(
      options,
      (peer) => this.lastReceived.get(peer) ?? -Infinity,
    );
    const accepted = new AcceptedConnections({
      clock: runtime.clock,
      peers: peers.map((peer) => peer.name),
      retryMs,
      onFrame: (from, frame, lastReceivedAt) => {
        this.lastReceived.set(from, lastReceivedAt);
        this.frames.next({ from, frame });
      },
    });
    const server = net.createServer((connection) => accepted.receive(connection));
    server.maxConnections = CONNECTIONS_PER_PEER * (peers.length + 1);
    this.listener = new Listener(runtime.network, server);
  }

  /** Links until the signal aborts, then ends all connections; rejects with ListenError. */
  async run(signal: AbortSignal): Promise<void> {
    const { listen, peers } = this.options;
    await this.listener.open(listen);
    await Promise.all(peers.map((peer) => this.dialled.keepDialling(peer, signal)));
    await aborted(signal);
    await this.listener.close();
  }

  /** Tells all peers that are reachable. */
  send(frame: Frame): void {
    this.dialled.send(frame);
  }

  sendTo(peer: string, frame: Frame): void {
    this.dialled.sendTo(peer, frame);
  }

  /**
   * Dials a peer anew that speaks to us but has read nothing of ours for so long. A cut may have swallowed the
   * sign that it gave our connection up or began a new life; a younger connection may only be slow.
   */
  redial(peer: string, unreadS: number): void {
    this.dialled.endIfOlder(peer, unreadS);
  }
}
