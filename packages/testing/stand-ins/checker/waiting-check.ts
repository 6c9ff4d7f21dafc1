/** Checks the rule that no job waits long while there is capacity for it. */
import type { Job } from '#wire';
import type { MachineFacts } from '../events.js';
import type { MachineState } from '../world-state.js';
import { exceedsLimit, totalResources, type Check, type CheckContext } from './check.js';
import type { JobRecord } from './job-records.js';

const MAX_WAIT_S = 90;
const RESOURCES = ['cpus', 'gpus', 'memory'] as const;

/** A machine with its free resources. */
interface FreeCapacity {
  facts: MachineFacts;
  free: Record<(typeof RESOURCES)[number], number>;
}

/** Checks, once all faults have ended, that each job for which sound machines have capacity gets one. */
export class WaitingCheck implements Check {
  /** Time since which there has been capacity for a waiting job, by job. */
  private readonly capacitySince = new Map<string, number>();

  constructor(private readonly context: CheckContext) {}

  onTick(): void {
    if (this.context.faultFreeSince() === null) {
      this.capacitySince.clear();
      return;
    }
    const machines = [...this.context.state.machines.values()]
      .filter(
        ({ facts, hanging, reclaimAnnounced }) => facts.healthy && !hanging && !reclaimAnnounced,
      )
      .map((machine) => this.freeCapacityOn(machine));
    for (const record of this.context.jobRecords.all()) {
      const { id } = record.job;
      if (!this.isWaiting(record) || !this.hasCapacity(record.job, machines))
        this.capacitySince.delete(id);
      else this.checkWait(id);
    }
  }

  private checkWait(job: string): void {
    const now = this.context.now();
    const since = this.capacitySince.get(job) ?? now;
    this.capacitySince.set(job, since);
    if (now - since < MAX_WAIT_S) return;
    const explanation = `none of its tasks has a machine, although there is capacity since ${since.toFixed(1)} s`;
    this.context.recordViolation({ rule: 'unserved', job, explanation });
  }

  private isWaiting({
    job,
    runnable,
    acceptedAt,
    cancelRequestedAt,
    finalAnswer,
  }: JobRecord): boolean {
    const isOpen =
      runnable && acceptedAt !== null && cancelRequestedAt === null && finalAnswer === null;
    if (!isOpen || this.context.state.placements(job.id).length > 0) return false;
    if (this.hasOpenDependencies(job)) return false;
    return this.context.state.completedTasks(job.id).size < job.tasks;
  }

  private hasOpenDependencies({ id }: Job): boolean {
    const { jobRecords, state } = this.context;
    return jobRecords
      .dependenciesOf(id)
      .some(({ job }) => state.completedTasks(job.id).size < job.tasks);
  }

  /**
   * Whether the team's limit and the free resources of machines allow the job to start: all tasks of a
   * gang, one task of any other job.
   */
  private hasCapacity(job: Job, machines: FreeCapacity[]): boolean {
    const needed = job.kind === 'gang' ? job.tasks : 1;
    const limit = this.context.settings.teams.find(({ name }) => name === job.team);
    const used = totalResources([...this.assignedTasksOfTeam(job.team), { job, tasks: needed }]);
    if (limit && exceedsLimit(used, limit)) return false;
    const capacities = taskCapacityByZone(job, machines);
    if (job.oneZone) return Math.max(0, ...capacities) >= needed;
    const perZone = job.spread ? Math.ceil(job.tasks / 2) : Infinity;
    return capacities.reduce((sum, count) => sum + Math.min(count, perZone), 0) >= needed;
  }

  private freeCapacityOn({ facts, tasks }: MachineState): FreeCapacity {
    const { cpus, gpus, memory } = facts.type;
    const free = { cpus, gpus, memory };
    for (const { task } of tasks.values()) {
      const job = this.context.jobRecords.get(task.job)?.job;
      for (const resource of RESOURCES) free[resource] -= job?.[resource] ?? 0;
    }
    return { facts, free };
  }

  private *assignedTasksOfTeam(team: string): Generator<{ job: Job; tasks: number }> {
    for (const { job } of this.context.jobRecords.all()) {
      if (job.team === team) yield { job, tasks: this.context.state.placements(job.id).length };
    }
  }
}

/** The number of the job's tasks for which there is capacity, for each zone. */
function taskCapacityByZone(job: Job, machines: FreeCapacity[]): number[] {
  const zones = new Map<string, number>();
  for (const machine of machines) {
    if (!isAllowed(machine, job)) continue;
    const { zone } = machine.facts;
    zones.set(zone, (zones.get(zone) ?? 0) + taskCapacity(machine, job));
  }
  return [...zones.values()];
}

function taskCapacity({ free }: FreeCapacity, job: Job): number {
  const needed = RESOURCES.filter((resource) => job[resource] > 0);
  const capacities = needed.map((resource) => Math.floor(free[resource] / job[resource]));
  return Math.max(0, Math.min(job.tasks, ...capacities));
}

function isAllowed({ facts }: FreeCapacity, job: Job): boolean {
  if (job.types && !job.types.includes(facts.type.name)) return false;
  if (job.zone !== null && job.zone !== facts.zone) return false;
  return job.spot || !facts.spot;
}
