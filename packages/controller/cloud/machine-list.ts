/** Reads the cloud's list of machines into the fleet state. */
import type { FleetState } from '#core';
import type { Clock, ListedMachine } from '#wire';
import type { CloudAccess } from './cloud-access.js';

/** Heartbeat intervals from one list to the next, if the list's lag does not ask for more. */
const LIST_INTERVALS = 2;
/** Share of the list's lag from one list to the next. */
const LIST_LAG_SHARE = 1 / 2;
/** Multiple of the list's lag for which a deprovisioned machine is remembered. */
const DEPROVISIONED_MEMORY_LAGS = 20;

/** What a `MachineList` works on. */
export interface MachineListOptions extends CloudAccess {
  clock: Clock;
  fleet: FleetState;
  /** How far the cloud's list may be behind; seconds. */
  listLagS: number;
  heartbeatIntervalS: number;
}

/** Keeps the fleet in step with the cloud's list of machines, which lags behind deprovisioning. */
export class MachineList {
  /** When the last complete list was requested; steady seconds. */
  private listedAt = -Infinity;
  /** When each machine was deprovisioned, for as long as the list may still show it; steady seconds. */
  private readonly deprovisionedAt = new Map<string, number>();

  constructor(private readonly options: MachineListOptions) {}

  /** Whether a complete list has been read. */
  get loaded(): boolean {
    return this.listedAt > -Infinity;
  }

  /**
   * Reads the list if the last one is too old. `now` is in steady seconds. Rejects if the cloud fails;
   * what was read until then is kept, and the next call reads the list from its start.
   */
  async refreshIfDue(now: number, signal: AbortSignal): Promise<void> {
    const { heartbeatIntervalS, listLagS } = this.options;
    const intervalS = Math.max(LIST_INTERVALS * heartbeatIntervalS, listLagS * LIST_LAG_SHARE);
    if (now - this.listedAt > intervalS) await this.refresh(signal);
  }

  /** These machines are gone, whatever later lists show. `now` is in steady seconds. */
  recordDeprovisioned(names: string[], now: number): void {
    for (const name of names) this.deprovisionedAt.set(name, now);
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    const { clock, fleet } = this.options;
    const now = clock.now();
    for await (const page of this.pages(signal)) {
      for (const machine of page) this.apply(machine, now);
    }
    this.listedAt = now;
    this.forgetOldDeprovisioned(now);
    fleet.machines.updateTotals();
  }

  /** All machines that the cloud lists, page by page. */
  private async *pages(signal: AbortSignal): AsyncGenerator<ListedMachine[]> {
    const { cloud, budget } = this.options;
    let after: string | null = null;
    let more = true;
    while (more) {
      await budget.acquireFor('background', 1, signal);
      const page: Awaited<ReturnType<typeof cloud.list>> = await cloud.list(after, signal);
      yield page.machines;
      after = page.machines.at(-1)?.name ?? null;
      more = page.more && after !== null;
    }
  }

  private apply(listed: ListedMachine, now: number): void {
    const { machines } = this.options.fleet;
    if (this.deprovisionedAt.has(listed.name)) return;
    const known = machines.get(listed.name);
    if (known) {
      if (listed.state === 'failed') machines.markFailed(known);
      return;
    }
    const bootS = machines.types.get(listed.type)?.bootS ?? 0;
    // One that is listed as running has a boot time to send its first heartbeat to this leader.
    const requestedAt = listed.state === 'booting' ? now - listed.ageS : now - bootS;
    const machine = machines.register(listed, 'booting', requestedAt);
    if (listed.state === 'failed') machines.markFailed(machine);
  }

  private forgetOldDeprovisioned(now: number): void {
    const { listLagS, heartbeatIntervalS } = this.options;
    const memoryS = DEPROVISIONED_MEMORY_LAGS * Math.max(listLagS, heartbeatIntervalS);
    for (const [name, deprovisionedAt] of this.deprovisionedAt) {
      if (now - deprovisionedAt > memoryS) this.deprovisionedAt.delete(name);
    }
  }
}
