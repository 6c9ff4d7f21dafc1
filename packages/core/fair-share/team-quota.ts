/** Quota: what is guaranteed to a team, and what it may use at the most. */
import { type Amounts, ROUNDING } from '../model/amounts.js';

/** A team's guarantee and limit, in processors and accelerators. For a limit, 0 means that there is none. */
export interface TeamQuota {
  guaranteedCpus: number;
  guaranteedGpus: number;
  cpuLimit: number;
  gpuLimit: number;
}

/** The quota of a team with neither guarantee nor limit. */
export const NO_QUOTA: TeamQuota = {
  guaranteedCpus: 0,
  guaranteedGpus: 0,
  cpuLimit: 0,
  gpuLimit: 0,
};

/** Whether anything is guaranteed to the team. */
export function hasGuarantee(quota: TeamQuota | undefined): quota is TeamQuota {
  return quota !== undefined && (quota.guaranteedGpus > 0 || quota.guaranteedCpus > 0);
}

/** Guaranteed share of the fleet's totals, never less than the floor weight. */
export function teamWeight(quota: TeamQuota, totals: Amounts, floorWeight: number): number {
  return Math.max(
    floorWeight,
    totals.cpus > 0 ? quota.guaranteedCpus / totals.cpus : 0,
    totals.gpus > 0 ? quota.guaranteedGpus / totals.gpus : 0,
  );
}

/** How many times the team may use `more` in addition to what it uses; Infinity if nothing bounds it. */
export function timesWithinLimit(quota: TeamQuota, used: Amounts, more: Amounts): number {
  return Math.min(
    timesWithin(quota.cpuLimit, used.cpus, more.cpus),
    timesWithin(quota.gpuLimit, used.gpus, more.gpus),
  );
}

function timesWithin(limit: number, used: number, more: number): number {
  if (limit === 0 || (more === 0 && used <= limit + ROUNDING)) return Infinity;
  if (used + more > limit + ROUNDING) return 0;
  return Math.floor((limit + ROUNDING - used) / more);
}

/** Whether the team may use `more` in addition to what it uses. */
export function withinLimit(quota: TeamQuota, used: Amounts, more: Amounts): boolean {
  return (
    (quota.cpuLimit === 0 || used.cpus + more.cpus <= quota.cpuLimit + ROUNDING) &&
    (quota.gpuLimit === 0 || used.gpus + more.gpus <= quota.gpuLimit + ROUNDING)
  );
}
