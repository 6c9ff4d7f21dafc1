/** Blocked shapes: what found no capacity in a round, so that tasks that need as much are not tried again. */
import type { Job } from '#wire';
import type { Amounts } from '../model/amounts.js';
import type { JobState } from '../model/entities.js';
import { constraintsKey, hasZoneConstraint } from './task-requirements.js';

/**
 * Which capacity a job may use in a round; jobs of the same access fail alike. A best-effort job may use
 * spare capacity only, and all free capacity once it is `starved`. In preemption `firm` jobs may preempt
 * all that their rank allows, and `best-effort` ones only best-effort work.
 */
export type CapacityAccess = 'firm' | 'best-effort' | 'starved';

/** An amount that found no capacity, and the rank of the job that needed it. */
interface BlockedShape {
  need: Readonly<Amounts>;
  rank: number;
}

/**
 * What found no capacity in a round. A task that needs as much or more under the same constraints, of the
 * same rank or a lower one, finds none either: only capacity held for its own job could help it.
 */
export class BlockedShapes {
  private readonly byConstraints = new Map<string, BlockedShape[]>();

  /** Records that a task of the job found no capacity. Only for jobs of which `mayBlockShape` is true. */
  add(job: Job, rank: number, access: CapacityAccess): void {
    const key = shapeKey(job, access);
    const { cpus, gpus, memory } = job;
    const shape = { need: { cpus, gpus, memory }, rank };
    const kept = (this.byConstraints.get(key) ?? []).filter((other) => !covers(shape, other));
    this.byConstraints.set(key, [...kept, shape]);
  }

  /** Whether a task that needs `need`, the job's own amounts unless given, certainly finds no capacity. */
  has(job: Job, rank: number, access: CapacityAccess, need: Readonly<Amounts> = job): boolean {
    if (this.byConstraints.size === 0) return false;
    const shapes = this.byConstraints.get(shapeKey(job, access));
    return shapes?.some((shape) => covers(shape, { need, rank })) ?? false;
  }
}

/**
 * Whether other jobs with the same needs fail where this one does: neither the zones of its own tasks nor
 * its failures bound where it may go.
 */
export function mayBlockShape({ spec, assignments, failures }: JobState): boolean {
  const isConstrainedByOwnTasks = hasZoneConstraint(spec) && assignments.size > 0;
  return !isConstrainedByOwnTasks && failures.attempts === 0;
}

function shapeKey(job: Job, access: CapacityAccess): string {
  return `${access} ${constraintsKey(job)}`;
}

function covers(blocked: BlockedShape, { need, rank }: BlockedShape): boolean {
  return (
    blocked.rank <= rank &&
    blocked.need.cpus <= need.cpus &&
    blocked.need.gpus <= need.gpus &&
    blocked.need.memory <= need.memory
  );
}
