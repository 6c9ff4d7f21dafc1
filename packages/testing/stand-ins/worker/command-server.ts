/** The HTTP endpoint of a worker for commands that controllers send directly. */
import type { HostPort, Heartbeat, Runtime } from '#wire';
import { heartbeatToWire } from '#wire';
import { parseDirectCommand, type DirectCommand, type WireReply } from '#wire/serving';
import { NO_REPLY, serveCbor, type CborServer, type ServedRequest } from '../http-server.js';
import type { ReplyLoss } from '../lost-replies.js';

/** The part of a worker that the command server uses. */
export interface CommandTarget {
  /** Executes the command, or returns false if its fencing token or agent epoch does not match. */
  executeCommand(command: DirectCommand): boolean;
  /** Returns the heartbeat to send as the body of an answer. */
  nextHeartbeat(): Heartbeat;
  /** Resolves when the machine does not hang. */
  whenRunning(): Promise<void>;
}

/** Accepts direct commands over HTTP, and simulates commands that are lost or delayed. */
export class CommandServer {
  /** Whether commands that arrive are neither executed nor answered. */
  commandsBlocked = false;
  private server: CborServer | null = null;
  private closed = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly target: CommandTarget,
    /** The fault in which commands are delayed and get no answer. */
    private readonly lateCommands: ReplyLoss,
  ) {}

  async listen(address: HostPort): Promise<HostPort> {
    this.server = await serveCbor(this.runtime, address, (request) => this.handle(request));
    return this.server.address;
  }

  close(): void {
    this.closed = true;
    this.server?.close();
  }

  private async handle(request: ServedRequest): Promise<WireReply | typeof NO_REPLY> {
    await this.target.whenRunning();
    if (this.commandsBlocked || this.closed) return NO_REPLY;
    const route = `${request.method} ${request.path}`;
    if (route === 'GET /show') return this.reply(200);
    if (route !== 'POST /orders') return { status: 404 };
    return this.acceptCommand(parseDirectCommand(request.body));
  }

  private async acceptCommand(command: DirectCommand): Promise<WireReply | typeof NO_REPLY> {
    const loss = this.lateCommands.drawFault();
    if (loss === null) return this.reply(this.target.executeCommand(command) ? 200 : 409);
    await this.lateCommands.waitForDelay(loss);
    await this.target.whenRunning();
    if (!this.closed) this.target.executeCommand(command);
    return NO_REPLY;
  }

  private reply(status: number): WireReply {
    return { status, body: heartbeatToWire(this.target.nextHeartbeat()) };
  }
}
