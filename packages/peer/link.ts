import net from 'node:net';
import { Subject } from 'rxjs';
import { setTimeout as sleep } from 'node:timers/promises';
import { BadFrame } from './buffers.js';
import { encodeFrame, Frame, FrameReader } from './frames.js';

export interface PeerAddress {
  name: string;
  addr: string;
}

/** Bytes that may wait for a slow peer before frames to it are dropped. */
const MAX_BACKLOG = 1 << 20;
/** Retry periods without a word from a peer after which its connection is given up. */
const SILENCES = 16;

/**
 * Every controller dials every other and speaks on its own connection; what it hears comes on the
 * connections that the others dialled. Frames are advice: nothing durable depends on one arriving.
 */
export class PeerLink {
  readonly heard = new Subject<{ from: string; frame: Frame }>();
  private readonly out = new Map<string, net.Socket>();
  private readonly lastHeard = new Map<string, number>();
  private readonly server: net.Server;

  constructor(
    private readonly self: string,
    private readonly listen: { host: string; port: number },
    private readonly peers: PeerAddress[],
    private readonly retryMs: number,
    /** What a peer is told on each new connection, since it may have missed it. */
    private readonly greeting: () => Frame[] = () => [],
  ) {
    this.server = net.createServer((socket) => this.receive(socket));
    this.server.maxConnections = 4 * (peers.length + 1);
  }

  async run(signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.listen.port, this.listen.host, resolve);
    });
    signal.addEventListener('abort', () => this.close());
    await Promise.all(this.peers.map((p) => this.dial(p, signal)));
  }

  send(frame: Frame): void {
    const bytes = encodeFrame(frame);
    for (const socket of this.out.values()) write(socket, bytes);
  }

  sendTo(peer: string, frame: Frame): void {
    const socket = this.out.get(peer);
    if (socket) write(socket, encodeFrame(frame));
  }

  private close(): void {
    this.server.close();
    for (const socket of this.out.values()) socket.destroy();
  }

  private async dial(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const colon = peer.addr.lastIndexOf(':');
    const host = peer.addr.slice(0, colon);
    const port = Number(peer.addr.slice(colon + 1));
    while (!signal.aborted) {
      await new Promise<void>((resolve) => {
        const socket = net.connect({ host, port });
        socket.setNoDelay(true);
        const giveUp = setTimeout(() => socket.destroy(), 4 * this.retryMs);
        socket.on('connect', () => {
          clearTimeout(giveUp);
          socket.write(encodeFrame({ kind: 'hello', name: this.self }));
          for (const frame of this.greeting()) socket.write(encodeFrame(frame));
          this.out.set(peer.name, socket);
        });
        // Nothing is answered on this connection; bytes that come are dropped.
        socket.on('data', () => {});
        // A cut-off peer leaves written bytes unacknowledged without an error; dial it anew.
        const since = performance.now();
        const watch = setInterval(() => {
          const heardAt = Math.max(since, this.lastHeard.get(peer.name) ?? 0);
          if (performance.now() - heardAt > SILENCES * this.retryMs) socket.destroy();
        }, this.retryMs);
        socket.on('error', () => {});
        socket.on('close', () => {
          clearTimeout(giveUp);
          clearInterval(watch);
          if (this.out.get(peer.name) === socket) this.out.delete(peer.name);
          resolve();
        });
      });
      await sleep(this.retryMs * (0.5 + Math.random()), undefined, { signal }).catch(() => {});
    }
  }

  private receive(socket: net.Socket): void {
    const reader = new FrameReader();
    let from: string | null = null;
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      try {
        for (const frame of reader.push(chunk)) {
          if (frame.kind === 'hello') {
            if (!this.peers.some((p) => p.name === frame.name)) throw new BadFrame('unknown peer');
            from = frame.name;
          } else if (from === null) throw new BadFrame('no hello');
          else {
            this.lastHeard.set(from, performance.now());
            this.heard.next({ from, frame });
          }
        }
      } catch {
        socket.destroy();
      }
    });
  }
}

function write(socket: net.Socket, bytes: Buffer): void {
  if (socket.writableLength < MAX_BACKLOG) socket.write(bytes);
}
