/**
 * Checks of the rules about the start of a task: on one machine at a time, on a machine that its job
 * allows, and within the limit of its team.
 */
import { taskName, type Job, type TaskRef } from '#wire';
import type { WorldEvent } from '../events.js';
import type { MachineState } from '../world-state.js';
import { exceedsLimit, totalResources, type Check, type CheckContext } from './check.js';

/** Checks each start of a task against the true state of all machines. */
export class StartChecks implements Check {
  constructor(private readonly context: CheckContext) {}

  onEvent(event: WorldEvent): void {
    if (event.kind !== 'task-started') return;
    this.checkNotElsewhere(event.machine, event.task);
    const machine = this.context.state.machines.get(event.machine);
    const job = this.context.jobRecords.get(event.task.job)?.job;
    if (!machine || !job) return;
    this.checkPlacement(machine, event.task, job);
    this.checkQuota(machine, event.task, job);
  }

  private checkNotElsewhere(machine: string, task: TaskRef): void {
    const others = this.context.state
      .started(task.job)
      .filter((place) => place.task.index === task.index && place.machine !== machine)
      .map((place) => place.machine);
    if (others.length === 0) return;
    this.context.recordViolation({
      rule: 'ran_twice',
      job: task.job,
      task,
      machines: [machine, ...others],
      explanation: `attempt ${task.attempt} starts while the task is on another machine`,
    });
  }

  private checkPlacement(machine: MachineState, task: TaskRef, job: Job): void {
    const { facts } = machine;
    const reason = this.placementError(machine, job);
    if (reason === null) return;
    const explanation = `${reason} (type ${facts.type.name}, zone ${facts.zone}, spot ${String(facts.spot)})`;
    this.context.recordViolation({
      rule: 'wrong_place',
      job: job.id,
      task,
      machines: [facts.name],
      explanation,
    });
  }

  private placementError({ facts }: MachineState, job: Job): string | null {
    if (job.types && !job.types.includes(facts.type.name)) return 'the type is not allowed';
    if (job.zone !== null && job.zone !== facts.zone) return `only zone ${job.zone} is allowed`;
    if (facts.spot && !job.spot) return 'spot machines are not allowed';
    const zones = this.context.state
      .started(job.id)
      .map((place) => this.context.state.machine(place.machine).facts.zone);
    const inSameZone = zones.filter((zone) => zone === facts.zone).length;
    if (job.oneZone && inSameZone < zones.length)
      return 'other tasks of the one-zone job are in another zone';
    if (job.spread && inSameZone > Math.ceil(job.tasks / 2))
      return 'more than half of the tasks are in this zone';
    return null;
  }

  private checkQuota(machine: MachineState, task: TaskRef, job: Job): void {
    const limit = this.context.settings.teams.find(({ name }) => name === job.team);
    if (!limit) return;
    const used = totalResources(this.startedTasksOfTeam(job.team));
    if (!exceedsLimit(used, limit)) return;
    this.context.recordViolation({
      rule: 'quota',
      job: job.id,
      task,
      machines: [machine.facts.name],
      explanation:
        `with ${taskName(task.job, task.index)} team ${job.team} uses ${used.cpus} cores and ` +
        `${used.gpus} accelerators; its limits are ${limit.cpus} and ${limit.gpus} (0: none)`,
    });
  }

  private *startedTasksOfTeam(team: string): Generator<{ job: Job; tasks: number }> {
    for (const id of this.context.state.startedJobs()) {
      const job = this.context.jobRecords.get(id)?.job;
      if (job?.team === team) yield { job, tasks: this.context.state.started(id).length };
    }
  }
}
