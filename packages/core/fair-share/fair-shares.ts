import type { Job } from '#wire';
import { Amounts } from '../model/amounts.js';
import { hasGuarantee, NO_QUOTA, teamWeight, TeamQuota, withinLimit } from './team-quota.js';
import type { FleetState } from '../fleet-state.js';

/** Where teams stand towards their guarantees and limits, and whose turn it is (docs/design.md). */
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

  /** Decayed service over guarantee; the team with the lowest index is served first. */
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

  /** Beyond its guarantee a team only borrows; one without a guarantee always does. */
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

  /** Tells of tasks whether one more stays within the guarantee, beside what the team uses now. */
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
