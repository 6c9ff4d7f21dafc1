import type { Job } from '#wire';
import { Amounts, teamWeight, TeamTerms, withinLimit } from './fairshare.js';
import type { FleetState } from './fleet-state.js';

const NO_TERMS: TeamTerms = { cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };

/** Where teams stand towards their guarantees and limits, and whose turn it is (docs/design.md). */
export class TeamShares {
  constructor(
    private readonly fleet: FleetState,
    private readonly teams: Map<string, TeamTerms>,
    private readonly floorWeight: number,
  ) {}

  isKnown(team: string): boolean {
    return this.teams.has(team);
  }

  /** Decayed service over guarantee; the team with the lowest index is served first. */
  index(team: string, now: number): number {
    const terms = this.teams.get(team) ?? NO_TERMS;
    const weight = teamWeight(terms, this.fleet.machines.totals, this.floorWeight);
    return this.fleet.usage.service(team, now).read(now) / weight;
  }

  /** Whether the team may use so much more (docs/safety.md, point 9). Unknown teams may use nothing. */
  withinLimit(team: string, more: Amounts): boolean {
    const terms = this.teams.get(team);
    return terms !== undefined && withinLimit(terms, this.fleet.usage.ofTeam(team), more);
  }

  /** Beyond its guarantee a team only borrows; one without a guarantee always does. */
  isBorrowing(team: string): boolean {
    const terms = this.guaranteeOf(team);
    if (terms === null) return true;
    const used = this.fleet.usage.ofTeam(team);
    return (terms.gpus > 0 && used.gpus > terms.gpus) || (terms.cpus > 0 && used.cpus > terms.cpus);
  }

  /** Whether one more task of the job stays within its team's guarantee. */
  withinGuarantee(job: Job): boolean {
    const terms = this.guaranteeOf(job.team);
    if (terms === null) return false;
    const used = this.fleet.usage.ofTeam(job.team);
    return (
      (terms.gpus === 0 || used.gpus + job.gpus <= terms.gpus) &&
      (terms.cpus === 0 || used.cpus + job.cpus <= terms.cpus)
    );
  }

  private guaranteeOf(team: string): TeamTerms | null {
    const terms = this.teams.get(team);
    return terms && (terms.gpus > 0 || terms.cpus > 0) ? terms : null;
  }
}
