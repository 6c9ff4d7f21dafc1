import type { FleetState } from '#core';
import type { Clock, ListedMachine } from '#wire';
import type { CloudAccess } from './cloud-access.js';

/** Report periods from one list to the next, if the list's lag does not ask for more. */
const LIST_PERIODS = 2;
/** Share of the list's lag from one list to the next. */
const LIST_LAG_SHARE = 1 / 2;
/** Multiple of the list's lag for which a release is remembered. */
const RELEASE_MEMORY = 20;

export interface MachineListOptions extends CloudAccess {
  clock: Clock;
  fleet: FleetState;
  /** How far the cloud's list may be behind; seconds. */
  listLagS: number;
  heartbeatIntervalS: number;
}

/** Keeps the fleet in step with the cloud's list of machines, which lags behind what was released. */
export class MachineList {
  /** When the last complete list was asked for; steady seconds. */
  private listedAt = -Infinity;
  /** When each machine was released, for as long as the list may still show it; steady seconds. */
  private readonly releasedAt = new Map<string, number>();

  constructor(private readonly options: MachineListOptions) {}

  /** Whether a complete list has been read. */
  get known(): boolean {
    return this.listedAt > -Infinity;
  }

  /** Reads the list if the last one is old by now. */
  async refreshIfDue(now: number, signal: AbortSignal): Promise<void> {
    const { heartbeatIntervalS, listLagS } = this.options;
    const periodS = Math.max(LIST_PERIODS * heartbeatIntervalS, listLagS * LIST_LAG_SHARE);
    if (now - this.listedAt > periodS) await this.refresh(signal);
  }

  /** These machines are gone, whatever later lists show. */
  recordReleased(names: string[], now: number): void {
    for (const name of names) this.releasedAt.set(name, now);
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    const { clock, fleet } = this.options;
    const now = clock.now();
    for await (const page of this.pages(signal)) {
      for (const machine of page) this.apply(machine, now);
    }
    this.listedAt = now;
    this.forgetOldReleases(now);
    fleet.machines.updateTotals();
  }

  /** All machines that the cloud lists, page by page. */
  private async *pages(signal: AbortSignal): AsyncGenerator<ListedMachine[]> {
    const { cloud, budget } = this.options;
    let after: string | null = null;
    let more = true;
    while (more) {
      await budget.acquire(1, false, signal);
      const page: Awaited<ReturnType<typeof cloud.list>> = await cloud.list(after, signal);
      yield page.machines;
      after = page.machines.at(-1)?.name ?? null;
      more = page.more && after !== null;
    }
  }

  private apply(listed: ListedMachine, now: number): void {
    const { machines } = this.options.fleet;
    if (this.releasedAt.has(listed.name)) return;
    const known = machines.get(listed.name);
    if (known) {
      if (listed.state === 'failed') machines.markFailed(known);
      return;
    }
    const bootS = machines.types.get(listed.type)?.bootS ?? 0;
    // One that is listed as running has a boot time's worth of patience to report to us.
    const requestedAt = listed.state === 'booting' ? now - listed.ageS : now - bootS;
    const machine = machines.register(listed, 'booting', requestedAt);
    if (listed.state === 'failed') machines.markFailed(machine);
  }

  private forgetOldReleases(now: number): void {
    const { listLagS, heartbeatIntervalS } = this.options;
    const memoryS = RELEASE_MEMORY * Math.max(listLagS, heartbeatIntervalS);
    for (const [name, releasedAt] of this.releasedAt) {
      if (now - releasedAt > memoryS) this.releasedAt.delete(name);
    }
  }
}
