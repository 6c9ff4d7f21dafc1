/** Commands that go to workers at once instead of waiting for their next heartbeat. */
import { CborClient, commandToWire, Order, parseHeartbeat, Runtime } from '#wire';
import type { DirectOutcome, FleetState, Machine } from '#core';

/** Status codes with which a worker states that it executed nothing: fenced off, or unreadable to it. */
const NOT_EXECUTED_STATUSES = [409, 400];

/** What direct commands are sent with. */
export interface DirectCommandsOptions {
  runtime: Runtime;
  fleet: FleetState;
  /** How long an answer may take. */
  timeoutMs: number;
  /** Connections that may be open at once: one for each machine would not fit a large fleet. */
  maxConnections: number;
  /** Told of commands that go out. */
  onOrders: (machine: Machine, orders: Order[]) => void;
  /** Told when a call has ended and its outcome is taken in. */
  onDone: () => void;
}

/**
 * Sends a machine's pending commands on a connection of its own. A command without an answer counts as possibly
 * carried out; the fleet state then fences it off (docs/safety.md, point 6).
 */
export class DirectCommands {
  /** Least recently used first. */
  private readonly clients = new Map<string, { addr: string; http: CborClient }>();
  /** Machines with a call under way. */
  private readonly busy = new Set<string>();

  constructor(private readonly options: DirectCommandsOptions) {}

  /** Sends what is due; at most one call to a machine is under way. */
  push(signal: AbortSignal): void {
    const { runtime, fleet, maxConnections, onOrders } = this.options;
    const now = runtime.clock.now();
    for (const machine of [...fleet.machinesWithCommands]) {
      // The rest goes out with the next push, or in answers to heartbeats.
      if (this.busy.size >= maxConnections) return;
      const orders = fleet.directOrders.nextOrders(machine, now);
      if (orders.length === 0) continue;
      onOrders(machine, orders);
      void this.send(machine, orders, signal);
    }
  }

  /** Connections that are open or kept. */
  get connections(): number {
    return this.clients.size;
  }

  /** Closes all connections; calls that are under way end by their signal. */
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
      // No answer, or one that can't be read: the commands may have been carried out.
      fleet.directOrders.applyOutcome(machine, orders, { kind: 'unknown' }, clock.now());
    }
    this.busy.delete(machine.name);
    if (!fleet.machines.has(machine.name)) this.closeConnection(machine.name);
    onDone();
  }
}

/** What a worker's answer says of the commands; throws MalformedBody if it can't be read. */
function outcomeOf(status: number, body: unknown): DirectOutcome {
  if (status === 200) return { kind: 'executed', heartbeat: parseHeartbeat(body) };
  return { kind: NOT_EXECUTED_STATUSES.includes(status) ? 'refused' : 'unknown' };
}
