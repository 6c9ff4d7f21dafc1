/** Fair shares: where teams stand towards their quota, and whose turn it is (docs/design.md). */
import type { Job } from '#wire';
import type { FleetState } from '../fleet-state.js';
import { type Amounts, multipliedAmounts } from '../model/amounts.js';
import { hasGuarantee, NO_QUOTA, type TeamQuota, teamWeight, withinLimit } from './team-quota.js';

/** Compares what teams use and have received with their guarantees and limits. */
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

  /** The team's decayed service over its weight; the team with the lowest index is served first. */
  index(team: string, now: number): number {
    const quota = this.teams.get(team) ?? NO_QUOTA;
    const weight = teamWeight(quota, this.fleet.machines.totals, this.floorWeight);
    return this.fleet.usage.service(team, now).read(now) / weight;
  }

  /** Whether the team may use so much more (docs/safety.md, point 9). Unknown teams may use nothing. */
  withinLimit(team: string, more: Amounts): boolean {
    const quota = this.teams.get(team);
    return quota !== undefined && withinLimit(quota, this.fleet.usage.ofTeam(team), more);
  }

  /** Whether the limit of the job's team allows `count` more of its tasks. */
  allowsTasks(job: Job, count: number): boolean {
    return this.withinLimit(job.team, multipliedAmounts(job, count));
  }

  /** Whether the team uses more than its guarantee; one without a guarantee always borrows. */
  isBorrowing(team: string): boolean {
    const quota = this.guaranteeOf(team);
    if (quota === null) return true;
    const used = this.fleet.usage.ofTeam(team);
    return (
      (quota.guaranteedGpus > 0 && used.gpus > quota.guaranteedGpus) ||
      (quota.guaranteedCpus > 0 && used.cpus > quota.guaranteedCpus)
    );
  }

  /** Whether one more task of the job stays within its team's guarantee. */
  withinGuarantee(job: Job): boolean {
    return this.guaranteeCheck(job.team)(job);
  }

  /** A check whether one more task stays within the guarantee, in addition to what the team uses at this moment. */
  guaranteeCheck(team: string): (need: Pick<Amounts, 'cpus' | 'gpus'>) => boolean {
    const quota = this.guaranteeOf(team);
    if (quota === null) return () => false;
    const { guaranteedCpus, guaranteedGpus } = quota;
    const used = { ...this.fleet.usage.ofTeam(team) };
    return ({ cpus, gpus }) =>
      (guaranteedGpus === 0 || used.gpus + gpus <= guaranteedGpus) &&
      (guaranteedCpus === 0 || used.cpus + cpus <= guaranteedCpus);
  }

  private guaranteeOf(team: string): TeamQuota | null {
    const quota = this.teams.get(team);
    return hasGuarantee(quota) ? quota : null;
  }
}
