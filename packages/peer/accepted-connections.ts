/** Connections that peers have dialled, on which this controller receives. */
import type { Duplex } from 'node:stream';
import type { Clock } from '#wire';
import { FrameReader } from './frame-codec.js';
import type { Frame } from './frames.js';
import { BadFrame } from './payload.js';
import { detectSilence } from './silence.js';

/** Dependencies of `AcceptedConnections`. */
export interface AcceptOptions {
  clock: Clock;
  /** Names of all peers; connections from any other sender are closed. */
  peers: readonly string[];
  /** Milliseconds between two attempts to connect to a peer. */
  retryMs: number;
  /** Called with each frame of a peer and its time of receipt, in seconds of the monotonic clock. */
  onFrame: (from: string, frame: Frame, lastReceivedAt: number) => void;
}

/** One connection and the state of its sender. */
interface AcceptedConnection {
  readonly connection: Duplex;
  /** Increases with each connection that is accepted. */
  readonly order: number;
  readonly reader: FrameReader;
  /** The name of the sender; null before the first frame. */
  peer: string | null;
  /** When data was last received, in seconds of the monotonic clock. */
  lastReceivedAt: number;
}

/** Receives frames on the newest connection of each peer. */
export class AcceptedConnections {
  /** The newest connection of each peer, by the order in which they were accepted. */
  private readonly newest = new Map<string, AcceptedConnection>();
  private acceptedCount = 0;

  constructor(private readonly options: AcceptOptions) {}

  /** Reads a new connection until it ends; closes a connection that violates the protocol. */
  receive(connection: Duplex): void {
    const { clock, retryMs } = this.options;
    const accepted: AcceptedConnection = {
      connection,
      order: ++this.acceptedCount,
      reader: new FrameReader(),
      peer: null,
      lastReceivedAt: clock.now(),
    };
    const lastReceivedAt = () => accepted.lastReceivedAt;
    const onSilent = () => void connection.destroy();
    const silence = detectSilence({ clock, retryMs, lastReceivedAt, onSilent });
    connection.on('error', () => {
      // A `close` event follows, and the peer dials again.
    });
    connection.on('close', () => {
      silence.cancel();
      this.forget(accepted);
    });
    connection.on('data', (chunk: Buffer) => {
      this.read(accepted, chunk);
    });
  }

  private read(accepted: AcceptedConnection, chunk: Buffer): void {
    accepted.lastReceivedAt = this.options.clock.now();
    try {
      for (const frame of accepted.reader.push(chunk)) this.handle(accepted, frame);
    } catch {
      // A peer that still uses the connection dials again and repeats its state.
      accepted.connection.destroy();
    }
  }

  private handle(accepted: AcceptedConnection, frame: Frame): void {
    if (frame.kind === 'hello') {
      this.identify(accepted, frame.name);
      return;
    }
    if (accepted.peer === null) throw new BadFrame('first frame is not a hello');
    this.options.onFrame(accepted.peer, frame, accepted.lastReceivedAt);
  }

  /**
   * Assigns a connection to its sender and closes the sender's earlier connection. A peer that dials again has
   * given up its earlier connection or has restarted, but a network partition may have left that connection open
   * here. Such connections would eventually reach the limit of accepted connections, and delayed frames on them
   * must not count as new.
   */
  private identify(accepted: AcceptedConnection, name: string): void {
    if (!this.options.peers.includes(name)) throw new BadFrame(`hello of unknown peer ${name}`);
    const known = this.newest.get(name);
    if (known && known.order > accepted.order) {
      throw new BadFrame(`hello on an earlier connection of ${name}`);
    }
    this.newest.set(name, accepted);
    if (known && known !== accepted) known.connection.destroy();
    accepted.peer = name;
  }

  private forget(accepted: AcceptedConnection): void {
    const { peer } = accepted;
    if (peer !== null && this.newest.get(peer) === accepted) this.newest.delete(peer);
  }
}
