/** Connections that this controller dials, on which it sends. */
import type { Duplex } from 'node:stream';
import { parseHostPort, pause, type Runtime } from '#wire';
import { encodeFrame } from './frame-codec.js';
import type { Frame } from './frames.js';
import { detectSilence } from './silence.js';

/** Another controller. */
export interface PeerAddress {
  name: string;
  /** An IPv4 address and a port, like `10.0.0.1:8080`. */
  addr: string;
}

/** How peers are dialled, and which frames they are sent first. */
export interface DialOptions {
  runtime: Runtime;
  /** This controller's name. */
  self: string;
  /** Milliseconds between two attempts to connect to a peer, varied at random by up to a half. */
  retryMs: number;
  /** Frames that a peer is sent on each new connection, since it may have missed them. */
  greeting?: () => Frame[];
}

/** Unsent bytes on a connection to a slow peer from which on further frames are dropped. */
const MAX_BACKLOG_BYTES = 1 << 20;
/** Retry periods after which an attempt to connect is abandoned. */
const CONNECT_PERIODS = 4;
/** Minimum pause between two attempts, as a share of the retry period. */
const MIN_RETRY_SHARE = 0.5;

/** Keeps one connection to each peer, and sends frames on those that are open. */
export class DialledConnections {
  /** Open connections by peer; `openedAt` is in seconds of the monotonic clock. */
  private readonly open = new Map<string, { connection: Duplex; openedAt: number }>();

  constructor(
    private readonly options: DialOptions,
    /** When data of a peer last arrived, in seconds of the monotonic clock; -Infinity if never. */
    private readonly lastReceived: (peer: string) => number,
  ) {}

  /** Sends a frame to all peers that are connected. */
  send(frame: Frame): void {
    const bytes = encodeFrame(frame);
    for (const { connection } of this.open.values()) write(connection, bytes);
  }

  /** Sends a frame to one peer, if it is connected. */
  sendTo(peer: string, frame: Frame): void {
    const connection = this.open.get(peer)?.connection;
    if (connection) write(connection, encodeFrame(frame));
  }

  /** Closes a connection that has been open for longer than `seconds`; the peer is then dialled again. */
  closeIfOlderThan(peer: string, seconds: number): void {
    const dialled = this.open.get(peer);
    if (!dialled) return;
    const ageS = this.options.runtime.clock.now() - dialled.openedAt;
    if (ageS > seconds) dialled.connection.destroy();
  }

  /** Keeps a connection to the peer until the signal aborts. */
  async maintainConnection(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { runtime, retryMs } = this.options;
    while (!signal.aborted) {
      await this.dial(peer, signal);
      await pause(runtime.clock, retryMs * (MIN_RETRY_SHARE + runtime.random()), signal);
    }
  }

  /** Opens one connection to a peer; resolves once the connection has ended. */
  private dial(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { runtime, retryMs } = this.options;
    const { clock, network } = runtime;
    return new Promise((resolve) => {
      const connection = network.connect(parseHostPort(peer.addr));
      const end = () => void connection.destroy();
      const connectTimer = clock.setTimer(end, CONNECT_PERIODS * retryMs);
      const dialledAt = clock.now();
      // A network partition leaves sent data unacknowledged without an error: a silent peer is dialled again.
      const lastReceivedAt = () => Math.max(dialledAt, this.lastReceived(peer.name));
      const silence = detectSilence({ clock, retryMs, lastReceivedAt, onSilent: end });
      signal.addEventListener('abort', end);
      connection.on('connect', () => {
        connectTimer.cancel();
        this.greet(connection);
        this.open.set(peer.name, { connection, openedAt: clock.now() });
      });
      connection.on('data', () => {
        // Peers send nothing on this connection; without a reader its end would go unnoticed.
      });
      connection.on('error', () => {
        // A `close` event follows, and the peer is dialled again.
      });
      connection.on('close', () => {
        connectTimer.cancel();
        silence.cancel();
        signal.removeEventListener('abort', end);
        if (this.open.get(peer.name)?.connection === connection) this.open.delete(peer.name);
        resolve();
      });
    });
  }

  private greet(connection: Duplex): void {
    const { self, greeting } = this.options;
    connection.write(encodeFrame({ kind: 'hello', name: self }));
    for (const frame of greeting?.() ?? []) connection.write(encodeFrame(frame));
  }
}

/** Sends bytes unless too many are unsent already. Dropping is safe: nothing relies on a frame's arrival. */
function write(connection: Duplex, bytes: Buffer): void {
  if (connection.writableLength < MAX_BACKLOG_BYTES) connection.write(bytes);
}
