/** Sends commands to workers immediately instead of in the answer to their next heartbeat. */
import { CborClient, commandToWire, Order, parseHeartbeat, Runtime } from '#wire';
import type { DirectOutcome, FleetState, Machine } from '#core';

/**
 * Status codes with which a worker answers that it executed nothing: 409 if it fenced the command off, 400 if it
 * could not read the command.
 */
const NOT_EXECUTED_STATUSES = [409, 400];

/** Dependencies and limits of direct commands. */
export interface DirectCommandsOptions {
  runtime: Runtime;
  fleet: FleetState;
  /** How long to wait for the answer of a worker. */
  timeoutMs: number;
  /** Maximum open connections: a large fleet exceeds the socket limit with one connection per machine. */
  maxConnections: number;
  /** Called before commands are sent to a machine. */
  onOrders: (machine: Machine, orders: Order[]) => void;
  /** Called after a call has ended and its outcome was applied to the fleet state. */
  onDone: (signal: AbortSignal) => void;
}

/**
 * Sends the pending commands of a machine on a connection separate from its heartbeats. A command without an answer
 * counts as possibly executed, and the fleet state then fences it off (docs/safety.md, point 6).
 */
export class DirectCommands {
  /** HTTP clients by machine name, least recently used first. */
  private readonly clients = new Map<string, { addr: string; http: CborClient }>();
  /** Names of machines with a call in flight. */
  private readonly busy = new Set<string>();

  constructor(private readonly options: DirectCommandsOptions) {}

  /** Sends all pending commands that the connection limit allows. At most one call per machine is in flight. */
  push(signal: AbortSignal): void {
    const { runtime, fleet, maxConnections, onOrders } = this.options;
    const now = runtime.clock.now();
    for (const machine of [...fleet.machinesWithCommands]) {
      // Remaining commands are sent by the next push or in answers to heartbeats.
      if (this.busy.size >= maxConnections) return;
      const orders = fleet.directOrders.nextOrders(machine, now);
      if (orders.length === 0) continue;
      onOrders(machine, orders);
      void this.send(machine, orders, signal);
    }
  }

  /** Number of connections that are in use or kept open for reuse. */
  get connections(): number {
    return this.clients.size;
  }

  /** Closes all connections. Calls in flight end when their signal aborts. */
  close(): void {
    for (const { http } of this.clients.values()) http.close();
    this.clients.clear();
  }

  private client(machine: Machine): CborClient {
    const { runtime, maxConnections } = this.options;
    let client = this.clients.get(machine.name);
    this.clients.delete(machine.name);
    if (client && client.addr !== machine.addr) {
      client.http.close();
      client = undefined;
    }
    client ??= { addr: machine.addr, http: new CborClient(runtime, machine.addr, 1) };
    this.clients.set(machine.name, client);
    for (const name of this.clients.keys()) {
      if (this.clients.size <= maxConnections) break;
      if (!this.busy.has(name)) this.closeConnection(name);
    }
    return client.http;
  }

  private closeConnection(name: string): void {
    this.clients.get(name)?.http.close();
    this.clients.delete(name);
  }

  private async send(machine: Machine, orders: Order[], signal: AbortSignal): Promise<void> {
    const { runtime, fleet, timeoutMs, onDone } = this.options;
    const { clock } = runtime;
    const body = commandToWire(machine.fencingToken, machine.agentEpoch, orders);
    const options = { timeoutMs, signal, body };
    this.busy.add(machine.name);
    try {
      const { status, body: answer } = await this.client(machine).call('POST', '/orders', options);
      fleet.directOrders.applyOutcome(machine, orders, outcomeOf(status, answer), clock.now());
    } catch {
      // Without an answer that can be parsed, the commands may or may not have been executed.
      fleet.directOrders.applyOutcome(machine, orders, { kind: 'unknown' }, clock.now());
    }
    this.busy.delete(machine.name);
    if (!fleet.machines.has(machine.name)) this.closeConnection(machine.name);
    onDone(signal);
  }
}

/** Derives the outcome of the commands from a worker's answer. Throws MalformedBody if it can't be parsed. */
function outcomeOf(status: number, body: unknown): DirectOutcome {
  if (status === 200) return { kind: 'executed', heartbeat: parseHeartbeat(body) };
  return { kind: NOT_EXECUTED_STATUSES.includes(status) ? 'refused' : 'unknown' };
}
