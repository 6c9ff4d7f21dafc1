/** Outages of the state service, for all clients or for one. */
/** Whom the service serves: nobody during an outage, and never a client that it refuses. */
export class Availability {
  private outage = false;
  private readonly refusedHosts = new Set<string>();
  private readonly waiting = new Set<() => void>();

  get inOutage(): boolean {
    return this.outage;
  }

  serves(clientHost: string): boolean {
    return !this.outage && !this.refusedHosts.has(clientHost);
  }

  setOutage(outage: boolean): void {
    this.outage = outage;
    this.wakeAll();
  }

  refuse(clientHost: string): void {
    this.refusedHosts.add(clientHost);
  }

  readmit(clientHost: string): void {
    this.refusedHosts.delete(clientHost);
    this.wakeAll();
  }

  /** Resolves when the client is served, for watches that stay open meanwhile. */
  async whenServed(clientHost: string): Promise<void> {
    while (!this.serves(clientHost)) await this.nextChange();
  }

  /** Resolves when there is no outage. */
  async whenUp(): Promise<void> {
    while (this.outage) await this.nextChange();
  }

  private nextChange(): Promise<void> {
    return new Promise((resolve) => this.waiting.add(resolve));
  }

  private wakeAll(): void {
    const woken = [...this.waiting];
    this.waiting.clear();
    for (const wake of woken) wake();
  }
}
