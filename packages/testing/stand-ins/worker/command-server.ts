/** The HTTP endpoint of a worker for commands that controllers send directly. */
import type { HostPort, Heartbeat, Runtime } from '#wire';
import { heartbeatToWire } from '#wire';
import { parseDirectCommand, type DirectCommand, type WireReply } from '#wire/serving';
import { NO_REPLY, serveCbor, type CborServer, type ServedRequest } from '../http-server.js';
import type { Observer } from '../events.js';
import type { RequestFault } from '../request-fault.js';

/** The part of a worker that the command server uses. */
export interface CommandTarget {
  readonly machine: string;
  readonly observer: Observer;
  /** Executes the command, or returns false if its fencing token or agent epoch does not match. */
  executeCommand(command: DirectCommand): boolean;
  /** Returns the heartbeat to send as the body of an answer. */
  nextHeartbeat(): Heartbeat;
  /** Resolves when the machine does not hang. */
  whenRunning(): Promise<void>;
}

/** Faults of the direct commands to all workers of a fleet. */
export interface CommandFaults {
  /** Commands that are delayed and get no answer. */
  lateCommands: RequestFault;
  /** Commands that were executed and answered and arrive once more. */
  repeatedCommands: RequestFault;
}

/** Accepts direct commands over HTTP, and simulates commands that are lost, delayed or repeated. */
export class CommandServer {
  /** Whether commands that arrive are neither executed nor answered. */
  commandsBlocked = false;
  private server: CborServer | null = null;
  private closed = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly target: CommandTarget,
    private readonly faults: CommandFaults,
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
    const { lateCommands } = this.faults;
    const loss = lateCommands.draw();
    if (loss === null) return this.executeAndReply(command);
    await lateCommands.waitForDelay(loss);
    await this.target.whenRunning();
    if (!this.closed) this.target.executeCommand(command);
    return NO_REPLY;
  }

  private executeAndReply(command: DirectCommand): WireReply {
    if (!this.target.executeCommand(command)) return this.reply(409);
    void this.repeat(command);
    return this.reply(200);
  }

  /** Executes a command that was executed before once more if a copy of it arrives. Nobody gets the answer. */
  private async repeat(command: DirectCommand): Promise<void> {
    if (!(await this.faults.repeatedCommands.nextCopy())) return;
    await this.target.whenRunning();
    if (this.closed) return;
    const { machine, observer } = this.target;
    const starts = command.orders.filter(({ op }) => op === 'start');
    const admitted = this.target.executeCommand(command);
    observer({ kind: 'command-repeated', machine, starts, admitted });
  }

  private reply(status: number): WireReply {
    return { status, body: heartbeatToWire(this.target.nextHeartbeat()) };
  }
}
