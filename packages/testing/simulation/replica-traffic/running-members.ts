/** Tracks which members of replicas run on which machines. */
import { taskName, type TaskRef } from '#wire';
import type { WorldEvent } from '../../stand-ins/index.js';

/** A running member of a replica and its machine. */
export interface LiveMember {
  machine: string;
  task: TaskRef;
}

/**
 * Running members and their machines, from the events of the stand-ins. Members of a replica find each other through
 * this class.
 */
export class RunningMembers {
  private readonly byTask = new Map<string, LiveMember[]>();
  private readonly hanging = new Set<string>();
  /** For each start of a member, counts the tasks of its replica that run in another generation at that time. */
  generationOverlaps = 0;

  /** `membersOf` returns the number of tasks that form one replica of a job; 1 if the job has no replica groups. */
  constructor(private readonly membersOf: (job: string) => number) {}

  observe(event: WorldEvent): void {
    if (event.kind === 'task-started') this.recordStart(event);
    else if (event.kind === 'task-left') this.recordEnd(event);
    else if (event.kind === 'machine-hangs') {
      if (event.hanging) this.hanging.add(event.machine);
      else this.hanging.delete(event.machine);
    }
  }

  /** Members that run the task on machines that do not hang; more than one only after a failure. */
  of(job: string, index: number): LiveMember[] {
    const live = this.byTask.get(taskName(job, index)) ?? [];
    return live.filter(({ machine }) => !this.hanging.has(machine));
  }

  /** Whether the member still runs on a machine that does not hang. */
  isLive({ machine, task }: LiveMember): boolean {
    return this.of(task.job, task.index).some(
      (each) => each.machine === machine && each.task.attempt === task.attempt,
    );
  }

  /** Replicas of several members with at least one running member; `first` is the index of the first task. */
  *replicas(): Generator<{ job: string; first: number; members: number }> {
    const seen = new Set<string>();
    for (const [{ task }] of this.byTask.values()) {
      const members = this.membersOf(task.job);
      const first = task.index - (task.index % members);
      const key = taskName(task.job, first);
      if (members < 2 || seen.has(key)) continue;
      seen.add(key);
      yield { job: task.job, first, members };
    }
  }

  private recordStart({ machine, task }: LiveMember): void {
    const members = this.membersOf(task.job);
    if (members < 2) return;
    const first = task.index - (task.index % members);
    for (let index = first; index < first + members; index++) {
      const others = this.byTask.get(taskName(task.job, index)) ?? [];
      if (others.some((each) => each.task.attempt !== task.attempt)) this.generationOverlaps++;
    }
    const key = taskName(task.job, task.index);
    this.byTask.set(key, [...(this.byTask.get(key) ?? []), { machine, task }]);
  }

  private recordEnd({ machine, task }: LiveMember): void {
    const key = taskName(task.job, task.index);
    const rest = (this.byTask.get(key) ?? []).filter(
      (each) => each.machine !== machine || each.task.attempt !== task.attempt,
    );
    if (rest.length > 0) this.byTask.set(key, rest);
    else this.byTask.delete(key);
  }
}
