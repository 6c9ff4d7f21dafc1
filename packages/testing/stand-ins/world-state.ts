/** The actual state of the machines and tasks of a simulation. */
import { taskName, type TaskRef } from '#wire';
import type { MachineFacts, WorldEvent } from './events.js';

/** One attempt of a task on a machine. */
export interface TaskPlacement {
  machine: string;
  task: TaskRef;
  /** Whether the image of the task is complete, so that the task counts as being on the machine. */
  started: boolean;
}

/** A machine that is up, and its tasks by attempt key. */
export interface MachineState {
  facts: MachineFacts;
  hanging: boolean;
  /** Whether the cloud has announced that it will reclaim the machine. */
  reclaimAnnounced: boolean;
  tasks: Map<string, TaskPlacement>;
}

/** The actual state of all machines and results, updated by the events of the stand-ins. */
export class WorldState {
  readonly machines = new Map<string, MachineState>();
  private readonly placementsByJob = new Map<string, Set<TaskPlacement>>();
  private readonly completed = new Map<string, Set<number>>();

  apply(event: WorldEvent): void {
    switch (event.kind) {
      case 'machine-up': {
        const { machine: facts } = event;
        const state = { facts, hanging: false, reclaimAnnounced: false, tasks: new Map() };
        this.machines.set(facts.name, state);
        break;
      }
      case 'machine-noticed':
        this.machine(event.machine).reclaimAnnounced = true;
        break;
      case 'machine-gone':
        this.machines.delete(event.machine);
        break;
      case 'machine-hangs':
        this.machine(event.machine).hanging = event.hanging;
        break;
      case 'task-assigned':
        this.addPlacement({ machine: event.machine, task: event.task, started: false });
        break;
      case 'task-started':
        this.markStarted(event.machine, event.task);
        break;
      case 'task-left':
        this.removePlacement(event.machine, event.task);
        break;
      case 'task-completed':
        this.completed.set(event.job, this.completedTasks(event.job).add(event.index));
        break;
    }
  }

  /** Returns a machine that is up; throws if the machine is not up. */
  machine(name: string): MachineState {
    const machine = this.machines.get(name);
    if (!machine) throw new Error(`machine ${name} is not up`);
    return machine;
  }

  /** Returns the tasks of the job on all machines, including tasks that wait for their images. */
  placements(job: string): TaskPlacement[] {
    return [...(this.placementsByJob.get(job) ?? [])];
  }

  /** Returns the tasks of the job whose images are complete. */
  started(job: string): TaskPlacement[] {
    return this.placements(job).filter((placement) => placement.started);
  }

  /** Returns the jobs of which at least one task has its image. */
  startedJobs(): string[] {
    return [...this.placementsByJob.keys()].filter((job) => this.started(job).length > 0);
  }

  completedTasks(job: string): Set<number> {
    return this.completed.get(job) ?? new Set();
  }

  private addPlacement(placement: TaskPlacement): void {
    const { machine, task } = placement;
    this.machine(machine).tasks.set(attemptKey(task), placement);
    const jobPlacements = this.placementsByJob.get(task.job) ?? new Set();
    this.placementsByJob.set(task.job, jobPlacements.add(placement));
  }

  private markStarted(machine: string, task: TaskRef): void {
    const placement = this.machines.get(machine)?.tasks.get(attemptKey(task));
    if (placement) placement.started = true;
    else this.addPlacement({ machine, task, started: true });
  }

  private removePlacement(machine: string, task: TaskRef): void {
    const tasks = this.machine(machine).tasks;
    const placement = tasks.get(attemptKey(task));
    if (!placement) return;
    tasks.delete(attemptKey(task));
    const jobPlacements = this.placementsByJob.get(task.job);
    jobPlacements?.delete(placement);
    if (jobPlacements?.size === 0) this.placementsByJob.delete(task.job);
  }
}

/** Returns the key of one attempt of a task. Attempts on different machines may have the same key. */
export function attemptKey({ job, index, attempt }: TaskRef): string {
  return `${taskName(job, index)} ${attempt}`;
}
