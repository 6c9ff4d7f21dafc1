/** Which jobs may preempt which tasks: by rank, guaranteed quota, best-effort work and gang leases. */
import type { FairShares } from '../fair-share/fair-shares.js';
import type { UsageLedger } from '../fair-share/usage-ledger.js';
import type { WaitingBucket } from '../fair-share/waiting-bucket.js';
import { type Assignment, assignmentsOf, type JobState } from '../model/entities.js';
import { hasRunMinimumTime } from './minimum-run-time.js';

/** Settings that decide when work may preempt other work. */
export interface PreemptionSettings {
  /** Waiting time, in seconds, after which a job may preempt firm (not best-effort) work. */
  preemptAfterS: number;
  /** Seconds that a gang runs before another team may preempt it. */
  gangLeaseS: number;
  /** A gang may be preempted after its lease if the waiting team's fair-share index is below this ratio of its own. */
  stopThreshold: number;
}

/**
 * Decides which jobs may preempt which tasks:
 * - Best-effort tasks may be preempted at once.
 * - Firm tasks, which are all others, may be preempted for a job that has waited for `preemptAfterS`, and only in three
 *   cases: the job has a higher rank; the job is within its team's guarantee, and the tasks belong to another team that
 *   uses more than its guarantee; or the tasks are a gang of the same rank and of another team, the gang's lease has
 *   ended, and the fair-share index of the job's team is far below that of the gang's team.
 */
export class PreemptionRules {
  constructor(
    private readonly usage: UsageLedger,
    private readonly shares: FairShares,
    private readonly settings: PreemptionSettings,
  ) {}

  /** Whether the job has waited long enough to preempt firm work. Best-effort work may be preempted without a wait. */
  mayPreemptFirmWork({ waitingSince }: JobState, now: number): boolean {
    return now - waitingSince >= this.settings.preemptAfterS;
  }

  /** Whether any assigned task, on whatever machine, could be preempted for jobs of the bucket. */
  mayPreemptAny({ representative, rank, minAmounts, isBestEffort }: WaitingBucket): boolean {
    const { kind, team } = representative;
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
    if (!this.mayPreemptFirmWork(job, now) || isInMinimumRunTime(victim, job, now)) return false;
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

  /** Whether the gang's lease has ended and the waiting team's fair-share index is far below the gang's team's. */
  private isGangLeaseOver(gang: JobState, waiting: JobState, now: number): boolean {
    const { gangLeaseS, stopThreshold } = this.settings;
    const startedAt = Math.min(
      ...[...assignmentsOf(gang)].map(({ runningSince }) => runningSince ?? now),
    );
    if (now - startedAt < gangLeaseS) return false;
    const gangIndex = this.shares.fairShareIndex(gang.spec.team, now);
    return this.shares.fairShareIndex(waiting.spec.team, now) < stopThreshold * gangIndex;
  }
}

/**
 * Whether the task has not yet run for the minimum run time, so that the job may not preempt it. Preemption right after
 * a start would make the start useless. The rule also bounds how often two jobs can displace each other. It does not
 * apply to waiting jobs of the most urgent rank.
 */
function isInMinimumRunTime({ runningSince }: Assignment, forJob: JobState, now: number): boolean {
  return forJob.rank !== 0 && runningSince !== null && !hasRunMinimumTime(runningSince, now);
}
