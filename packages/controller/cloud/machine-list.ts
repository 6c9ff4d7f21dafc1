/** Reads the cloud's list of machines into the fleet state. */
import type { FleetState } from '#core';
import type { Clock, ListedMachine } from '#wire';
import type { CloudAccess } from './cloud-access.js';

/** Minimum time between two reads of the list, in heartbeat intervals. */
const LIST_INTERVALS = 2;
/** Minimum time between two reads of the list, as a share of the list's lag. */
const LIST_LAG_SHARE = 1 / 2;
/** Time for which a deprovisioned machine is remembered, as a multiple of the list's lag. */
const DEPROVISIONED_MEMORY_LAGS = 20;

/** Dependencies and settings of a `MachineList`. */
export interface MachineListOptions extends CloudAccess {
  clock: Clock;
  fleet: FleetState;
  /** Seconds by which the cloud's list may be out of date. */
  listLagS: number;
  heartbeatIntervalS: number;
}

/** Applies the cloud's machine list to the fleet state. The list may still show deprovisioned machines. */
export class MachineList {
  /** When the last complete list was requested, in seconds of the monotonic clock. */
  private listedAt = -Infinity;
  /**
   * When each machine was deprovisioned, in seconds of the monotonic clock. Kept for as long as the list may
   * still show the machine.
   */
  private readonly deprovisionedAt = new Map<string, number>();

  constructor(private readonly options: MachineListOptions) {}

  /** Whether a complete list has been read. */
  get loaded(): boolean {
    return this.listedAt > -Infinity;
  }

  /**
   * Reads the list if the last read is too old. Rejects if the cloud fails; pages that were read before the
   * failure stay applied, and the next call reads the list from its start. `now` is in seconds of the
   * monotonic clock.
   */
  async refreshIfDue(now: number, signal: AbortSignal): Promise<void> {
    const { heartbeatIntervalS, listLagS } = this.options;
    const intervalS = Math.max(LIST_INTERVALS * heartbeatIntervalS, listLagS * LIST_LAG_SHARE);
    if (now - this.listedAt > intervalS) await this.refresh(signal);
  }

  /**
   * Records that the machines are gone even if later lists show them. `now` is in seconds of the monotonic
   * clock.
   */
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
    // A machine listed as running counts as requested one boot time ago, which leaves it time to send its
    // first heartbeat to this leader.
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
