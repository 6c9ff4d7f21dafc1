import { CborClient, commandToWire, Order, parseReport } from '#wire';
import type { FleetState, Machine } from '#core';
import { steady } from '#store';

/** Commands that go to workers at once instead of waiting for their next report. */
export class DirectCommands {
  /** Least recently used first. */
  private readonly clients = new Map<string, { addr: string; http: CborClient }>();
  /** Machines with a call under way. */
  private readonly busy = new Set<string>();

  constructor(
    private readonly book: FleetState,
    private readonly timeoutMs: number,
    /** Connections that may be open at once: one for each machine would not fit a large fleet. */
    private readonly most: number,
    private readonly onOrders: (machine: Machine, orders: Order[]) => void,
    private readonly onDone: () => void,
  ) {}

  /** Sends what is due; at most one call to a machine is under way. */
  push(signal: AbortSignal): void {
    const now = steady();
    for (const machine of [...this.book.due]) {
      // The rest goes out with the next push, or in answers to reports.
      if (this.busy.size >= this.most) return;
      const orders = this.book.directOrders.take(machine, now);
      if (orders.length === 0) continue;
      this.onOrders(machine, orders);
      void this.send(machine, orders, signal);
    }
  }

  /** Connections that are open or kept. */
  get connections(): number {
    return this.clients.size;
  }

  close(): void {
    for (const c of this.clients.values()) c.http.close();
    this.clients.clear();
  }

  private client(machine: Machine): CborClient {
    let client = this.clients.get(machine.name);
    this.clients.delete(machine.name);
    if (client && client.addr !== machine.addr) {
      client.http.close();
      client = undefined;
    }
    client ??= { addr: machine.addr, http: new CborClient(machine.addr, 1) };
    this.clients.set(machine.name, client);
    for (const name of this.clients.keys()) {
      if (this.clients.size <= this.most) break;
      if (!this.busy.has(name)) this.drop(name);
    }
    return client.http;
  }

  private drop(name: string): void {
    this.clients.get(name)?.http.close();
    this.clients.delete(name);
  }

  private async send(machine: Machine, orders: Order[], signal: AbortSignal): Promise<void> {
    const body = commandToWire(machine.token, machine.session, orders);
    const options = { timeoutMs: this.timeoutMs, signal, body };
    this.busy.add(machine.name);
    try {
      const res = await this.client(machine).call('POST', '/orders', options);
      if (res.status === 200) {
        this.book.directOrders.finish(
          machine,
          orders,
          { kind: 'executed', report: parseReport(res.body) },
          steady(),
        );
      } else {
        const refused = res.status === 409 || res.status === 400;
        this.book.directOrders.finish(
          machine,
          orders,
          { kind: refused ? 'refused' : 'unknown' },
          steady(),
        );
      }
    } catch {
      // No answer, or one that can't be read: the commands may have been carried out.
      this.book.directOrders.finish(machine, orders, { kind: 'unknown' }, steady());
    }
    this.busy.delete(machine.name);
    if (!this.book.machines.has(machine.name)) this.drop(machine.name);
    this.onDone();
  }
}
