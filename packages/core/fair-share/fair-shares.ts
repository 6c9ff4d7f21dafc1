/** Fair shares: how much of their quota teams use, and which team is served next (docs/design.md). */
import type { Job } from '#wire';
import type { FleetState } from '../fleet-state.js';
import { type Resources, multiplyResources } from '../model/resources.js';
import { hasGuarantee, NO_QUOTA, type TeamQuota, teamWeight, withinLimit } from './team-quota.js';

/** Compares the amounts that teams use, and the service that they have received, with their guarantees and limits. */
export class FairShares {
  constructor(
    private readonly fleet: FleetState,
    private readonly teams: Map<string, TeamQuota>,
    private readonly floorWeight: number,
  ) {}

  /** Whether the settings name the team. */
  isKnown(team: string): boolean {
    return this.teams.has(team);
  }

  /** The team's decayed service divided by its weight. The team with the lowest index is served first. */
  fairShareIndex(team: string, now: number): number {
    const quota = this.teams.get(team) ?? NO_QUOTA;
    const weight = teamWeight(quota, this.fleet.machines.totals, this.floorWeight);
    return this.fleet.usage.service(team, now).read(now) / weight;
  }

  /** Whether the team's limit allows `more` in addition (docs/safety.md, point 9). Unknown teams may use nothing. */
  withinLimit(team: string, more: Resources): boolean {
    const quota = this.teams.get(team);
    return quota !== undefined && withinLimit(quota, this.fleet.usage.amountsOfTeam(team), more);
  }

  /** Whether the limit of the job's team allows `count` more of its tasks. */
  allowsTasks(job: Job, count: number): boolean {
    return this.withinLimit(job.team, multiplyResources(job, count));
  }

  /** Whether the team uses more than its guarantee. A team without a guarantee always borrows. */
  isBorrowing(team: string): boolean {
    const quota = this.guaranteeOf(team);
    if (quota === null) return true;
    const used = this.fleet.usage.amountsOfTeam(team);
    return (
      (quota.guaranteedGpus > 0 && used.gpus > quota.guaranteedGpus) ||
      (quota.guaranteedCpus > 0 && used.cpus > quota.guaranteedCpus)
    );
  }

  /** Whether one more task of the job stays within its team's guarantee. */
  withinGuarantee(job: Job): boolean {
    return this.guaranteeCheck(job.team)(job);
  }

  /**
   * Returns a function that tells whether one more task stays within the team's guarantee. The function counts what
   * the team uses at the time of this call.
   */
  guaranteeCheck(team: string): (need: Pick<Resources, 'cpus' | 'gpus'>) => boolean {
    const quota = this.guaranteeOf(team);
    if (quota === null) return () => false;
    const { guaranteedCpus, guaranteedGpus } = quota;
    const used = { ...this.fleet.usage.amountsOfTeam(team) };
    return ({ cpus, gpus }) =>
      (guaranteedGpus === 0 || used.gpus + gpus <= guaranteedGpus) &&
      (guaranteedCpus === 0 || used.cpus + cpus <= guaranteedCpus);
  }

  private guaranteeOf(team: string): TeamQuota | null {
    const quota = this.teams.get(team);
    return hasGuarantee(quota) ? quota : null;
  }
}
