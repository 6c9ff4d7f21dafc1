/** Amounts of resources, and sums and shares of them. */

/** Resources that a task needs or a machine has. */
export interface Resources {
  cpus: number;
  gpus: number;
  /** GB. */
  memory: number;
}

/** Amounts are floating-point sums; differences below this are rounding errors. */
export const ROUNDING_TOLERANCE = 1e-9;

/** No resources. Shared, so copy it before adding to it. */
export const ZERO_RESOURCES: Readonly<Resources> = { cpus: 0, gpus: 0, memory: 0 };

/** Adds amounts in place, or subtracts them if `sign` is -1. */
export function addResources(sum: Resources, more: Resources, sign: 1 | -1): void {
  sum.cpus += sign * more.cpus;
  sum.gpus += sign * more.gpus;
  sum.memory += sign * more.memory;
}

/** The amounts of `count` tasks together. */
export function multiplyResources({ cpus, gpus, memory }: Resources, count: number): Resources {
  return { cpus: cpus * count, gpus: gpus * count, memory: memory * count };
}

/** The largest share of the fleet's totals that the amounts take. */
export function dominantShare(amounts: Resources, totals: Resources): number {
  return Math.max(
    shareOf(amounts.cpus, totals.cpus),
    shareOf(amounts.gpus, totals.gpus),
    shareOf(amounts.memory, totals.memory),
  );
}

function shareOf(amount: number, total: number): number {
  return total > 0 ? amount / total : 0;
}
