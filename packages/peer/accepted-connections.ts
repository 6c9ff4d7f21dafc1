/** Connections that peers have dialled, on which this controller receives. */
import type { Duplex } from 'node:stream';
import type { Clock } from '#wire';
import { FrameReader } from './frame-codec.js';
import type { Frame } from './frames.js';
import { BadFrame } from './payload.js';
import { detectSilence } from './silence.js';

/** From whom connections are accepted, and who is told of their frames. */
export interface AcceptOptions {
  clock: Clock;
  /** Names of all peers; connections of others are ended. */
  peers: readonly string[];
  /** Time between two attempts to reach a peer. */
  retryMs: number;
  /** Told of each frame of a peer, and when it was received; steady seconds. */
  onFrame: (from: string, frame: Frame, lastReceivedAt: number) => void;
}

/** One connection, and what is known of its sender. */
interface AcceptedConnection {
  readonly connection: Duplex;
  /** Rises with each connection that is accepted. */
  readonly order: number;
  readonly reader: FrameReader;
  /** The name of its sender; null before its first frame. */
  peer: string | null;
  /** Steady seconds. */
  lastReceivedAt: number;
}

/** Receives frames on the newest connection of each peer. */
export class AcceptedConnections {
  /** The newest connection of each peer, by the order in which they were accepted. */
  private readonly newest = new Map<string, AcceptedConnection>();
  private acceptedCount = 0;

  constructor(private readonly options: AcceptOptions) {}

  /** Reads a new connection until it ends; one that breaks the protocol is ended. */
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
      // `close` follows, and the peer dials again.
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
      // A peer that still needs the connection dials again, and sends its state again.
      accepted.connection.destroy();
    }
  }

  private handle(accepted: AcceptedConnection, frame: Frame): void {
    if (frame.kind === 'hello') {
      this.identify(accepted, frame.name);
      return;
    }
    if (accepted.peer === null) throw new BadFrame('no hello before it');
    this.options.onFrame(accepted.peer, frame, accepted.lastReceivedAt);
  }

  /**
   * A peer that dials again has given up its earlier connection, or has restarted. A network partition may
   * have left the earlier one open here without a sign; kept, such connections would in time use up all that
   * are accepted. What was held back on it may still come, and must not pass for news.
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
