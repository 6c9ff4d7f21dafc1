/** Reads the cloud's catalog of machine types into the fleet state. */
import type { FleetState } from '#core';
import type { MachineType } from '#wire';
import type { CloudAccess } from './cloud-access.js';

/** Heartbeat intervals from one read of the catalog to the next. */
const CATALOG_INTERVALS = 30;

/** Dependencies and settings of a `MachineCatalog`. */
export interface MachineCatalogOptions extends CloudAccess {
  fleet: FleetState;
  heartbeatIntervalS: number;
  /** Called with the machine types after each read of the catalog. */
  onTypes: (types: MachineType[], signal: AbortSignal) => Promise<void>;
}

/** Keeps the fleet's machine types up to date with the cloud's catalog. */
export class MachineCatalog {
  /** When the catalog was last read, in seconds of the monotonic clock. */
  private readAt = -Infinity;

  constructor(private readonly options: MachineCatalogOptions) {}

  /**
   * Reads the catalog if no type is known or the last read is too old. Rejects if the cloud or `onTypes`
   * fails; the next call then reads again. `now` is in seconds of the monotonic clock.
   */
  async refreshIfDue(now: number, signal: AbortSignal): Promise<void> {
    if (!this.isDue(now)) return;
    const { cloud, budget, fleet, onTypes } = this.options;
    await budget.acquireFor('background', 1, signal);
    const types = await cloud.catalog(signal);
    for (const type of types) fleet.machines.setType(type);
    await onTypes(types, signal);
    this.readAt = now;
  }

  private isDue(now: number): boolean {
    const { fleet, heartbeatIntervalS } = this.options;
    const isOld = now - this.readAt > CATALOG_INTERVALS * heartbeatIntervalS;
    return isOld || fleet.machines.types.size === 0;
  }
}
