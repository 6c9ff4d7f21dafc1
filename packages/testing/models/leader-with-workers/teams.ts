/** The teams of the model and their quotas. */
import type { TeamQuota } from '#core';

/** Team quotas by team name. */
export const TEAMS = new Map<string, TeamQuota>([
  ['red', { guaranteedCpus: 0, guaranteedGpus: 6, cpuLimit: 0, gpuLimit: 10 }],
  ['blue', { guaranteedCpus: 0, guaranteedGpus: 4, cpuLimit: 0, gpuLimit: 8 }],
]);

/** The same teams without limits. */
export function unlimitedTeams(): Map<string, TeamQuota> {
  return new Map([...TEAMS].map(([name, quota]) => [name, { ...quota, gpuLimit: 0 }]));
}
