import type { FleetState } from './fleet-state.js';
import type { JobState } from './model.js';
import type { TeamShares } from './team-shares.js';

/** More than the lowest rank: work within a guarantee goes before all that is not. */
const RANKS = 4;

/** The waiting jobs of one team, least-served first. */
export interface TeamQueue {
  team: string;
  jobs: JobState[];
}

/**
 * Waiting jobs by precedence: work within a guarantee before borrowers, then by rank. Jobs that back
 * off are left out.
 */
export function jobsByPrecedence(fleet: FleetState, shares: TeamShares, now: number): JobState[][] {
  const tiers: JobState[][] = [];
  for (const job of fleet.jobs.waiting) {
    if (job.backoffUntil > now) continue;
    const tier = (shares.withinGuarantee(job.spec) ? 0 : RANKS) + job.spec.rank;
    (tiers[tier] ??= []).push(job);
  }
  return tiers.filter((tier) => tier !== undefined);
}

export function queuesByTeam(waiting: JobState[], now: number): TeamQueue[] {
  const byTeam = new Map<string, JobState[]>();
  for (const job of waiting) {
    const jobs = byTeam.get(job.spec.team);
    if (jobs) jobs.push(job);
    else byTeam.set(job.spec.team, [job]);
  }
  return [...byTeam].map(([team, jobs]) => ({ team, jobs: leastServedFirst(jobs, now) }));
}

function leastServedFirst(jobs: JobState[], now: number): JobState[] {
  const service = new Map(jobs.map((job) => [job, job.service.read(now)]));
  return jobs.sort((a, b) => service.get(a)! - service.get(b)! || a.acceptedAt - b.acceptedAt);
}

/** Jobs of the highest rank first, then the oldest. */
export function byRankAndAge(a: JobState, b: JobState): number {
  return a.spec.rank - b.spec.rank || a.acceptedAt - b.acceptedAt;
}

/** What fails alike: while a job has no task anywhere, its zones are as free as any other's. */
export function placementKey(job: JobState): string {
  const { spec, assignments, requirementsKey } = job;
  const own = (spec.spread || spec.oneZone) && assignments.size > 0 ? spec.id : '';
  return `${requirementsKey} ${own}`;
}
