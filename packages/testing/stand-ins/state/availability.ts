/** Outages of the state service, for all clients or for one. */
/** Decides which clients are served: none during an outage, and never a refused client. */
export class Availability {
  private outage = false;
  private readonly refusedClients = new Set<string>();
  private readonly waiters = new Set<() => void>();

  get inOutage(): boolean {
    return this.outage;
  }

  serves(clientHost: string): boolean {
    return !this.outage && !this.refusedClients.has(clientHost);
  }

  setOutage(outage: boolean): void {
    this.outage = outage;
    this.wakeAll();
  }

  refuse(clientHost: string): void {
    this.refusedClients.add(clientHost);
  }

  readmit(clientHost: string): void {
    this.refusedClients.delete(clientHost);
    this.wakeAll();
  }

  /** Resolves when the client is served. Open watches wait for this instead of failing. */
  async whenServed(clientHost: string): Promise<void> {
    while (!this.serves(clientHost)) await this.nextChange();
  }

  /** Resolves when no outage is in progress. */
  async whenUp(): Promise<void> {
    while (this.outage) await this.nextChange();
  }

  private nextChange(): Promise<void> {
    return new Promise((resolve) => this.waiters.add(resolve));
  }

  private wakeAll(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const wake of waiters) wake();
  }
}
