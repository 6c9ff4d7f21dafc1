import type { Duplex } from 'node:stream';
import type { Clock } from '#wire';
import { BadFrame } from './buffers.js';
import { type Frame, FrameReader } from './frames.js';
import { onSilence } from './silence.js';

export interface AcceptOptions {
  clock: Clock;
  /** Names of all peers; nobody else is listened to. */
  peers: readonly string[];
  retryMs: number;
  /** Told of each frame of a peer; the time is in steady seconds. */
  onFrame: (from: string, frame: Frame, lastReceivedAt: number) => void;
}

/** The connections that peers have dialled, to be heard on. */
export class AcceptedConnections {
  /** The newest connection of each peer, by the order in which they were accepted. */
  private readonly newest = new Map<string, { connection: Duplex; order: number }>();
  private accepted = 0;

  constructor(private readonly options: AcceptOptions) {}

  /** Reads a new connection until it ends; one that speaks out of turn is ended. */
  receive(connection: Duplex): void {
    const { clock, retryMs, onFrame } = this.options;
    const reader = new FrameReader();
    const order = ++this.accepted;
    let from: string | null = null;
    let lastReceivedAt = clock.now();
    const act = () => void connection.destroy();
    const silence = onSilence({ clock, retryMs, lastReceivedAt: () => lastReceivedAt, act });
    connection.on('error', () => {});
    connection.on('close', () => {
      silence.cancel();
      if (from !== null && this.newest.get(from)?.order === order) this.newest.delete(from);
    });
    connection.on('data', (chunk: Buffer) => {
      lastReceivedAt = clock.now();
      try {
        for (const frame of reader.push(chunk)) {
          if (frame.kind === 'hello') from = this.greeted(frame.name, connection, order);
          else if (from === null) throw new BadFrame('no hello');
          else onFrame(from, frame, lastReceivedAt);
        }
      } catch {
        connection.destroy();
      }
    });
  }

  /**
   * A peer that dials anew has given up its earlier connection, or has begun a new life. A cut may have
   * left the earlier one open here without a sign; kept, such connections would in time use up all that
   * are taken. What a cut held back on it may still come, and must not pass for news.
   */
  private greeted(name: string, connection: Duplex, order: number): string {
    if (!this.options.peers.includes(name)) throw new BadFrame('unknown peer');
    const known = this.newest.get(name);
    if (known && known.order > order) throw new BadFrame('an earlier connection of this peer');
    this.newest.set(name, { connection, order });
    if (known && known.connection !== connection) known.connection.destroy();
    return name;
  }
}
