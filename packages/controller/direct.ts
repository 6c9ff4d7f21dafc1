import { CborClient, commandToWire, Order, parseReport } from '#wire';
import type { Book, Machine } from '#core';
import { steady } from '#store';

/** Commands that go to workers at once instead of waiting for their next report. */
export class DirectCommands {
  private readonly clients = new Map<string, { addr: string; http: CborClient }>();

  constructor(
    private readonly book: Book,
    private readonly timeoutMs: number,
    private readonly onOrders: (machine: Machine, orders: Order[]) => void,
    private readonly onDone: () => void,
  ) {}

  /** Sends what is due; at most one call to a machine is under way. */
  push(signal: AbortSignal): void {
    const now = steady();
    for (const machine of [...this.book.due]) {
      const orders = this.book.directOrders(machine, now);
      if (orders.length === 0) continue;
      this.onOrders(machine, orders);
      void this.send(machine, orders, signal);
    }
  }

  close(): void {
    for (const c of this.clients.values()) c.http.close();
    this.clients.clear();
  }

  private client(machine: Machine): CborClient {
    const known = this.clients.get(machine.name);
    if (known?.addr === machine.addr) return known.http;
    known?.http.close();
    const http = new CborClient(machine.addr, 1);
    this.clients.set(machine.name, { addr: machine.addr, http });
    return http;
  }

  private async send(machine: Machine, orders: Order[], signal: AbortSignal): Promise<void> {
    const body = commandToWire(machine.token, machine.session, orders);
    const options = { timeoutMs: this.timeoutMs, signal, body };
    try {
      const res = await this.client(machine).call('POST', '/orders', options);
      if (res.status === 200) {
        this.book.directAnswered(machine, orders, { report: parseReport(res.body) }, steady());
      } else {
        const refused = res.status === 409 || res.status === 400;
        this.book.directAnswered(machine, orders, refused ? 'refused' : 'unknown', steady());
      }
    } catch {
      // No answer, or one that can't be read: the commands may have been carried out.
      this.book.directAnswered(machine, orders, 'unknown', steady());
    }
    if (!this.book.machines.has(machine.name)) {
      this.clients.get(machine.name)?.http.close();
      this.clients.delete(machine.name);
    }
    this.onDone();
  }
}
