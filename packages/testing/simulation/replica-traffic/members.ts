/** Which members of replicas run on which machines. */
import { taskName, type TaskRef } from '#wire';
import type { WorldEvent } from '../../stand-ins/index.js';

/** A member that runs on a machine. */
export interface LiveMember {
  machine: string;
  task: TaskRef;
}

/** Which members run where, by the events of the stand-ins: how members find their mates. */
export class Members {
  private readonly byTask = new Map<string, LiveMember[]>();
  private readonly hanging = new Set<string>();
  /** Moments at which a member of a replica began while one of another generation ran. */
  generationsAtOnce = 0;

  /** `membersOf` tells how many tasks of a job make one replica; 1: each is by itself. */
  constructor(private readonly membersOf: (job: string) => number) {}

  observe(event: WorldEvent): void {
    if (event.kind === 'task-started') this.recordStart(event);
    else if (event.kind === 'task-left') this.recordEnd(event);
    else if (event.kind === 'machine-hangs') {
      if (event.hanging) this.hanging.add(event.machine);
      else this.hanging.delete(event.machine);
    }
  }

  /** Those that run the task and do not stand still; more than one only if something went wrong. */
  of(job: string, index: number): LiveMember[] {
    const live = this.byTask.get(taskName(job, index)) ?? [];
    return live.filter(({ machine }) => !this.hanging.has(machine));
  }

  /** Whether the member still runs. */
  isLive({ machine, task }: LiveMember): boolean {
    return this.of(task.job, task.index).some(
      (each) => each.machine === machine && each.task.attempt === task.attempt,
    );
  }

  /** First task of each replica of which a member runs. */
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
      if (others.some((each) => each.task.attempt !== task.attempt)) this.generationsAtOnce++;
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
