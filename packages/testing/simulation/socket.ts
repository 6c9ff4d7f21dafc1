/** Sockets of simulated connections. */
import { Duplex } from 'node:stream';
import type { Clock, Timer } from '#wire';

/** The connection that carries the data of a socket. */
export interface Transport {
  /** Sends bytes; calls `done` once the next bytes may be sent. */
  send(bytes: Buffer, done: () => void): void;
  /** Signals the end of the data to the other side. */
  finish(): void;
  /** Closes the connection on this side. */
  close(): void;
}

type WriteDone = (error?: Error | null) => void;

/** One end of a simulated connection, with the parts of net.Socket that Node's HTTP modules use. */
export class SimulatedSocket extends Duplex {
  connecting: boolean;
  /** Idle time in milliseconds after which `timeout` is emitted; 0 disables it. */
  timeout = 0;
  private transport: Transport | null = null;
  private afterConnect: ((transport: Transport) => void)[] = [];
  private activeAt: number;
  private idleTimer: Timer | null = null;
  private idleDueAt = Infinity;

  constructor(
    private readonly clock: Clock,
    transport: Transport | null,
    allowHalfOpen: boolean,
    readonly remoteAddress: string,
  ) {
    super({ allowHalfOpen, decodeStrings: true });
    this.connecting = transport === null;
    this.transport = transport;
    this.activeAt = clock.now();
  }

  /** Marks the socket as connected and sends the data that was written so far. */
  connected(transport: Transport): void {
    if (this.destroyed) return;
    this.transport = transport;
    this.connecting = false;
    for (const write of this.afterConnect.splice(0)) write(transport);
    this.emit('connect');
  }

  received(bytes: Buffer): void {
    if (this.destroyed) return;
    this.activeAt = this.clock.now();
    this.push(bytes);
  }

  receivedEnd(): void {
    if (!this.destroyed) this.push(null);
  }

  failed(code: 'ECONNREFUSED' | 'ECONNRESET' | 'ETIMEDOUT' | 'EMFILE'): void {
    if (!this.destroyed) this.destroy(Object.assign(new Error(code), { code }));
  }

  override _read(): void {
    // Nothing to request: bytes are pushed as they arrive.
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: WriteDone): void {
    this.activeAt = this.clock.now();
    this.whenConnected((transport) => {
      transport.send(chunk, done);
    });
  }

  override _writev(chunks: { chunk: Buffer }[], done: WriteDone): void {
    this._write(Buffer.concat(chunks.map((c) => c.chunk)), 'binary', done);
  }

  override _final(done: WriteDone): void {
    this.whenConnected((transport) => {
      transport.finish();
    });
    done();
  }

  override _destroy(error: Error | null, done: WriteDone): void {
    this.idleTimer?.cancel();
    this.afterConnect = [];
    this.transport?.close();
    done(error);
  }

  /** Emits `timeout` once nothing was sent or received for `timeoutMs`. */
  setTimeout(timeoutMs: number, onTimeout?: () => void): this {
    this.timeout = timeoutMs;
    this.activeAt = this.clock.now();
    if (onTimeout && timeoutMs > 0) this.once('timeout', onTimeout);
    else if (onTimeout) this.removeListener('timeout', onTimeout);
    if (timeoutMs > 0) this.watchIdle(timeoutMs);
    return this;
  }

  /** Closes once everything written has been sent. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  setNoDelay(): this {
    return this;
  }
  setKeepAlive(): this {
    return this;
  }
  ref(): this {
    return this;
  }
  unref(): this {
    return this;
  }

  private whenConnected(run: (transport: Transport) => void): void {
    const { transport } = this;
    if (transport !== null) run(transport);
    else this.afterConnect.push(run);
  }

  /**
   * Starts the idle timer. A running timer that is due earlier is kept and checks again when it fires, because HTTP
   * sets the timeout anew for each request.
   */
  private watchIdle(delayMs: number): void {
    const dueAt = this.clock.now() + delayMs / 1000;
    if (this.idleTimer !== null && this.idleDueAt <= dueAt) return;
    this.idleTimer?.cancel();
    this.idleDueAt = dueAt;
    this.idleTimer = this.clock.setTimer(() => {
      this.idleTimer = null;
      if (this.destroyed || this.timeout === 0) return;
      const idleMs = (this.clock.now() - this.activeAt) * 1000;
      if (idleMs < this.timeout - 1) this.watchIdle(this.timeout - idleMs);
      else this.emit('timeout');
    }, delayMs);
  }
}
