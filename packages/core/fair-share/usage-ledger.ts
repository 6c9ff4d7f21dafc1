/** The usage ledger: what teams and classes hold, and the service that teams have received. */
import { addAmounts, type Amounts, ZERO_AMOUNTS } from '../model/amounts.js';
import type { Assignment, JobState } from '../model/entities.js';
import { ServiceCounter } from './service-counter.js';

/** Number of assigned tasks of one team and rank, those of gangs apart from others. */
interface TaskGroup {
  team: string;
  rank: number;
  isGang: boolean;
  isBestEffort: boolean;
  tasks: number;
}

/** Counts assignments by team, by rank, and by class and zone, as they come and go. */
export class UsageLedger {
  private readonly amountsByTeam = new Map<string, Amounts>();
  private readonly serviceByTeam = new Map<string, ServiceCounter>();
  private readonly groupsByKey = new Map<string, TaskGroup>();
  private readonly tasksByClassAndZone = new Map<string, Map<string, number>>();

  constructor(private readonly halfLifeS: number) {}

  /** Counts an assignment that was made (1) or is proven gone (-1). */
  count(assignment: Assignment, sign: 1 | -1, now: number): void {
    const { job, machine, share } = assignment;
    const { team } = job.spec;
    const zones = this.tasksByZone(job.spec.class);
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + sign);
    let used = this.amountsByTeam.get(team);
    if (!used) this.amountsByTeam.set(team, (used = { ...ZERO_AMOUNTS }));
    addAmounts(used, job.spec, sign);
    this.service(team, now).changeRate(sign * share, now);
    job.service.changeRate(sign * share, now);
  }

  /** Counts the assignment among the tasks of its job's rank. */
  countRank({ job }: Assignment, sign: 1 | -1): void {
    this.groupOf(job).tasks += sign;
  }

  /** Charges a job and its team for service that they caused but did not receive, in fleet-share seconds. */
  charge(job: JobState, amount: number, now: number): void {
    this.service(job.spec.team, now).charge(amount, now);
    job.service.charge(amount, now);
  }

  /** Amounts of all assignments of the team, also of those that may have ended (docs/safety.md, point 9). */
  ofTeam(team: string): Readonly<Amounts> {
    return this.amountsByTeam.get(team) ?? ZERO_AMOUNTS;
  }

  /** Service that the team has received, in decayed fleet-share seconds. */
  service(team: string, now: number): ServiceCounter {
    let counter = this.serviceByTeam.get(team);
    if (!counter) {
      counter = new ServiceCounter(this.halfLifeS, now);
      this.serviceByTeam.set(team, counter);
    }
    return counter;
  }

  /** The groups with any task. */
  groups(): TaskGroup[] {
    return [...this.groupsByKey.values()].filter(({ tasks }) => tasks > 0);
  }

  private groupOf({ spec: { team, kind }, rank, isBestEffort }: JobState): TaskGroup {
    const isGang = kind === 'gang';
    const key = `${team} ${rank} ${String(isGang)}`;
    let group = this.groupsByKey.get(key);
    if (!group) this.groupsByKey.set(key, (group = { team, rank, isGang, isBestEffort, tasks: 0 }));
    return group;
  }

  /** Number of tasks of a class in each zone, kept current. */
  tasksByZone(jobClass: string): Map<string, number> {
    let zones = this.tasksByClassAndZone.get(jobClass);
    if (!zones) this.tasksByClassAndZone.set(jobClass, (zones = new Map<string, number>()));
    return zones;
  }
}
