/** Records the amounts and tasks that teams and classes have assigned, and the service that teams have received. */
import { addResources, type Resources, ZERO_RESOURCES } from '../model/resources.js';
import type { Assignment, JobState } from '../model/entities.js';
import { ServiceCounter } from './service-counter.js';

/** Number of assigned tasks of one team and rank. Tasks of gangs and other tasks are in separate groups. */
interface TaskGroup {
  team: string;
  rank: number;
  isGang: boolean;
  isBestEffort: boolean;
  tasks: number;
}

/** Keeps counts of the current assignments by team, by rank, and by class and zone. */
export class UsageLedger {
  private readonly amountsByTeam = new Map<string, Resources>();
  private readonly serviceByTeam = new Map<string, ServiceCounter>();
  private readonly groupsByKey = new Map<string, TaskGroup>();
  private readonly tasksByClassAndZone = new Map<string, Map<string, number>>();

  constructor(private readonly halfLifeS: number) {}

  /** Adds a new assignment to the counts (`sign` 1), or removes one that has provably ended (`sign` -1). */
  count(assignment: Assignment, sign: 1 | -1, now: number): void {
    const { job, machine, share } = assignment;
    const { team } = job.spec;
    const zones = this.tasksByZone(job.spec.class);
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + sign);
    let used = this.amountsByTeam.get(team);
    if (!used) this.amountsByTeam.set(team, (used = { ...ZERO_RESOURCES }));
    addResources(used, job.spec, sign);
    this.service(team, now).changeRate(sign * share, now);
    job.service.changeRate(sign * share, now);
  }

  /** Adds the assignment to the task count of its job's team and rank (`sign` 1), or removes it (`sign` -1). */
  countByRank({ job }: Assignment, sign: 1 | -1): void {
    this.groupOf(job).tasks += sign;
  }

  /**
   * Charges a job and its team for service that they caused but did not receive. The amount is a share of the fleet
   * multiplied by seconds.
   */
  charge(job: JobState, amount: number, now: number): void {
    this.service(job.spec.team, now).charge(amount, now);
    job.service.charge(amount, now);
  }

  /** Amounts of all assignments of the team, including those that may have ended already (docs/safety.md, point 9). */
  amountsOfTeam(team: string): Readonly<Resources> {
    return this.amountsByTeam.get(team) ?? ZERO_RESOURCES;
  }

  /** The counter of the decayed service that the team has received (share of the fleet multiplied by seconds). */
  service(team: string, now: number): ServiceCounter {
    let counter = this.serviceByTeam.get(team);
    if (!counter) {
      counter = new ServiceCounter(this.halfLifeS, now);
      this.serviceByTeam.set(team, counter);
    }
    return counter;
  }

  /** The groups that have at least one task. */
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

  /** Number of assigned tasks of the class in each zone. The map is live: later assignments change it. */
  tasksByZone(jobClass: string): Map<string, number> {
    let zones = this.tasksByClassAndZone.get(jobClass);
    if (!zones) this.tasksByClassAndZone.set(jobClass, (zones = new Map<string, number>()));
    return zones;
  }
}
