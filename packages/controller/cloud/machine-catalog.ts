import type { FleetState } from '#core';
import type { MachineType } from '#wire';
import type { CloudAccess } from './cloud-access.js';

/** Report periods from one look at the machine types to the next. */
const CATALOG_PERIODS = 30;

export interface MachineCatalogOptions extends CloudAccess {
  fleet: FleetState;
  heartbeatIntervalS: number;
  /** Told of the machine types whenever they were asked for. */
  onTypes: (types: MachineType[], signal: AbortSignal) => Promise<void>;
}

/** Keeps the fleet's machine types as the cloud's catalog has them. */
export class MachineCatalog {
  /** When the types were asked for last; steady seconds. */
  private readAt = -Infinity;

  constructor(private readonly options: MachineCatalogOptions) {}

  /** Reads the catalog if no type is known or the last look is old by now. */
  async refreshIfDue(now: number, signal: AbortSignal): Promise<void> {
    const { cloud, budget, fleet, heartbeatIntervalS, onTypes } = this.options;
    const { machines } = fleet;
    if (now - this.readAt <= CATALOG_PERIODS * heartbeatIntervalS && machines.types.size > 0)
      return;
    await budget.acquire(1, false, signal);
    const types = await cloud.catalog(signal);
    for (const type of types) machines.setType(type);
    await onTypes(types, signal);
    this.readAt = now;
  }
}
