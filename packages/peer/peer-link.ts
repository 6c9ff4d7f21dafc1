/** Connections with all other controllers. */
import net from 'node:net';
import { Subject } from 'rxjs';
import { signalAborted, type HostPort, Listener } from '#wire';
import { AcceptedConnections } from './accepted-connections.js';
import { DialledConnections, type DialOptions, type PeerAddress } from './dialled-connections.js';
import type { Frame } from './frames.js';

/** What a link needs. */
export interface PeerLinkOptions extends DialOptions {
  /** Where this controller accepts connections. */
  listen: HostPort;
  /** All other controllers. */
  peers: PeerAddress[];
}

/** Connections that are accepted of each controller: the present one and those that it replaces. */
const CONNECTIONS_PER_PEER = 4;

/**
 * Every controller dials every other and sends on its own connection; it receives on those that the
 * others dialled. Frames are hints: nothing durable depends on one that arrives.
 */
export class PeerLink {
  /** Each frame that was received, and the name of its sender. */
  readonly frames = new Subject<{ from: string; frame: Frame }>();
  /** When each peer was last received from; steady seconds. */
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
    const server = net.createServer((connection) => {
      accepted.receive(connection);
    });
    server.maxConnections = CONNECTIONS_PER_PEER * (peers.length + 1);
    this.listener = new Listener(runtime.network, server);
  }

  /** Keeps connections until the signal aborts, then ends all of them; rejects with ListenError. */
  async run(signal: AbortSignal): Promise<void> {
    const { listen, peers } = this.options;
    await this.listener.open(listen);
    await Promise.all(peers.map((peer) => this.dialled.maintainConnection(peer, signal)));
    await signalAborted(signal);
    await this.listener.close();
  }

  /** Sends a frame to all peers that are connected. */
  send(frame: Frame): void {
    this.dialled.send(frame);
  }

  /** Sends a frame to one peer, if it is connected. */
  sendTo(peer: string, frame: Frame): void {
    this.dialled.sendTo(peer, frame);
  }

  /**
   * Dials a peer again that sends to us but has read nothing of ours for so many seconds. A network partition
   * may have hidden that it closed our connection or restarted; a younger connection may only be slow.
   */
  redial(peer: string, unreadS: number): void {
    this.dialled.closeIfOlderThan(peer, unreadS);
  }
}
