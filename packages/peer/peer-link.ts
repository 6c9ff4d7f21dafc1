/** Connections with all other controllers. */
import net from 'node:net';
import { Subject } from 'rxjs';
import { signalAborted, type HostPort, Listener } from '#wire';
import { AcceptedConnections } from './accepted-connections.js';
import { DialledConnections, type DialOptions, type PeerAddress } from './dialled-connections.js';
import type { Frame } from './frames.js';

/** Dependencies of a `PeerLink`. */
export interface PeerLinkOptions extends DialOptions {
  /** Where this controller accepts connections. */
  listen: HostPort;
  /** All other controllers. */
  peers: PeerAddress[];
}

/** Connections accepted per controller: the current one and those that it replaces. */
const CONNECTIONS_PER_PEER = 4;

/**
 * Connects this controller with its peers. Every controller dials every other, sends on the connections that it
 * dialled and receives on those that its peers dialled. Frames are hints: nothing durable depends on their
 * arrival.
 */
export class PeerLink {
  /** Emits each received frame with the name of its sender. */
  readonly frames = new Subject<{ from: string; frame: Frame }>();
  /** When data of each peer last arrived, in seconds of the monotonic clock. */
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

  /** Maintains all connections until the signal aborts, then closes them; rejects with ListenError. */
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
   * Dials a peer again that sends frames but has read none of this controller's for `unreadS` seconds. A network
   * partition may have hidden that the peer restarted or closed the connection. A connection younger than
   * `unreadS` is kept, since it may only be slow.
   */
  redial(peer: string, unreadS: number): void {
    this.dialled.closeIfOlderThan(peer, unreadS);
  }
}
