/** Team quotas: the capacity that is guaranteed to a team, and the most that it may use. */
import { type Resources, ROUNDING_TOLERANCE } from '../model/resources.js';

/** A team's guarantee and limit, in processors and accelerators. A limit of 0 means that there is no limit. */
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

/** The team's weight: its guaranteed share of the fleet's totals, but at least `floorWeight`. */
export function teamWeight(quota: TeamQuota, totals: Resources, floorWeight: number): number {
  return Math.max(
    floorWeight,
    totals.cpus > 0 ? quota.guaranteedCpus / totals.cpus : 0,
    totals.gpus > 0 ? quota.guaranteedGpus / totals.gpus : 0,
  );
}

/** How many times `more` fits between `used` and the team's limit; Infinity if no limit applies. */
export function timesWithinLimit(quota: TeamQuota, used: Resources, more: Resources): number {
  return Math.min(
    timesWithin(quota.cpuLimit, used.cpus, more.cpus),
    timesWithin(quota.gpuLimit, used.gpus, more.gpus),
  );
}

function timesWithin(limit: number, used: number, more: number): number {
  if (limit === 0 || (more === 0 && used <= limit + ROUNDING_TOLERANCE)) return Infinity;
  if (used + more > limit + ROUNDING_TOLERANCE) return 0;
  return Math.floor((limit + ROUNDING_TOLERANCE - used) / more);
}

/** Whether the team's limit allows `more` in addition to `used`. */
export function withinLimit(quota: TeamQuota, used: Resources, more: Resources): boolean {
  return (
    (quota.cpuLimit === 0 || used.cpus + more.cpus <= quota.cpuLimit + ROUNDING_TOLERANCE) &&
    (quota.gpuLimit === 0 || used.gpus + more.gpus <= quota.gpuLimit + ROUNDING_TOLERANCE)
  );
}
