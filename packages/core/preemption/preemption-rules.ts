/** Which jobs may preempt which tasks: by rank, guaranteed quota, best-effort work and gang leases. */
import type { FairShares } from '../fair-share/fair-shares.js';
import type { UsageLedger } from '../fair-share/usage-ledger.js';
import type { WaitingBucket } from '../fair-share/waiting-bucket.js';
import { type Assignment, assignmentsOf, type JobState } from '../model/entities.js';
import { isPastStartWindow } from './start-window.js';

/** When work may preempt other work. */
export interface PreemptionSettings {
  /** Waiting time, in seconds, after which a job may preempt firm work. */
  preemptAfterS: number;
  /** Seconds that a gang runs before another team may preempt it. */
  gangLeaseS: number;
  /** A gang may be preempted at its lease end below this ratio of fair-share indexes. */
  stopThreshold: number;
}

/**
 * Who may preempt whom. A job of higher rank, or within its team's guaranteed quota, may preempt firm
 * work once it has waited; a gang at its lease end gives way to a team that is far behind; best-effort
 * work gives way at once. No work is preempted for its own rank or a lower one otherwise.
 */
export class PreemptionRules {
  constructor(
    private readonly usage: UsageLedger,
    private readonly shares: FairShares,
    private readonly settings: PreemptionSettings,
  ) {}

  /** Whether the job has waited long enough to preempt firm work; best-effort work needs no wait. */
  mayPreemptFirmWork({ waitingSince }: JobState, now: number): boolean {
    return now - waitingSince >= this.settings.preemptAfterS;
  }

  /** Whether anything runs that jobs of the bucket may preempt, on whatever machine. */
  mayPreemptAny({ sample, rank, minAmounts, isBestEffort }: WaitingBucket): boolean {
    const { kind, team } = sample;
    if (kind === 'gang' || isBestEffort) return false;
    const isWithinGuarantee = this.shares.guaranteeCheck(team)(minAmounts);
    return this.usage.groups().some((group) => {
      if (group.isBestEffort || group.rank > rank) return true;
      if (group.team === team) return false;
      const isGangOfSameRank = group.isGang && group.rank === rank;
      return isGangOfSameRank || (isWithinGuarantee && this.shares.isBorrowing(group.team));
    });
  }

  /** Whether the job may preempt the assignment now. */
  mayPreempt(job: JobState, victim: Assignment, now: number): boolean {
    if (victim.job.isBestEffort) return true;
    if (!this.mayPreemptFirmWork(job, now) || isInStartWindow(victim, job, now)) return false;
    return this.hasPrecedence(job, victim.job, now);
  }

  private hasPrecedence(job: JobState, victim: JobState, now: number): boolean {
    const isOtherTeam = victim.spec.team !== job.spec.team;
    if (
      isOtherTeam &&
      this.shares.withinGuarantee(job.spec) &&
      this.shares.isBorrowing(victim.spec.team)
    ) {
      return true;
    }
    if (victim.rank !== job.rank) return victim.rank > job.rank;
    return isOtherTeam && victim.spec.kind === 'gang' && this.isGangLeaseOver(victim, job, now);
  }

  /** Whether the gang's lease has ended and the waiting job's team is far behind the gang's. */
  private isGangLeaseOver(gang: JobState, waiting: JobState, now: number): boolean {
    const { gangLeaseS, stopThreshold } = this.settings;
    const startedAt = Math.min(
      ...[...assignmentsOf(gang)].map(({ runningSince }) => runningSince ?? now),
    );
    if (now - startedAt < gangLeaseS) return false;
    const gangIndex = this.shares.index(gang.spec.team, now);
    return this.shares.index(waiting.spec.team, now) < stopThreshold * gangIndex;
  }
}

/**
 * A start that is undone at once served nobody, so a task that has just begun to run is left alone,
 * except for the most urgent rank. This also bounds how often two jobs can displace each other.
 */
function isInStartWindow({ runningSince }: Assignment, forJob: JobState, now: number): boolean {
  return forJob.rank !== 0 && runningSince !== null && !isPastStartWindow(runningSince, now);
}
