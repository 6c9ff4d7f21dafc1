/** Blocked shapes: requirements that found no capacity in a round, so that equal or larger ones are not tried again. */
import type { Job } from '#wire';
import type { Resources } from '../model/resources.js';
import type { JobState } from '../model/entities.js';
import { constraintsKey, dependsOnTaskZones } from './task-requirements.js';

/**
 * The capacity that a job may use in a round. Whether a job finds capacity says nothing about jobs with other
 * access. In placement, a `firm` job and a `starved` best-effort job may use all free capacity, and other
 * best-effort jobs only spare capacity. In preemption, a `firm` job may preempt everything that its rank
 * allows, and a `best-effort` job only best-effort tasks.
 */
export type CapacityAccess = 'firm' | 'best-effort' | 'starved';

/** Amounts for which no capacity was found, and the rank of the job that needed them. */
interface BlockedShape {
  need: Readonly<Resources>;
  rank: number;
}

/**
 * The shapes that found no capacity in a round. A task with the same access and constraints, at least the
 * same amounts and the same or a lower rank finds none either, unless capacity is held for its own job.
 */
export class BlockedShapes {
  private readonly byConstraints = new Map<string, BlockedShape[]>();

  /** Records that a task of the job found no capacity. The caller checks `mayBlockShape` for the job first. */
  add(job: Job, rank: number, access: CapacityAccess): void {
    const key = shapeKey(job, access);
    const { cpus, gpus, memory } = job;
    const shape = { need: { cpus, gpus, memory }, rank };
    const kept = (this.byConstraints.get(key) ?? []).filter((other) => !covers(shape, other));
    this.byConstraints.set(key, [...kept, shape]);
  }

  /** Whether a task of the job that needs `need` (by default the job's amounts) is known to find no capacity. */
  has(job: Job, rank: number, access: CapacityAccess, need: Readonly<Resources> = job): boolean {
    if (this.byConstraints.size === 0) return false;
    const shapes = this.byConstraints.get(shapeKey(job, access));
    return shapes?.some((shape) => covers(shape, { need, rank })) ?? false;
  }
}

/**
 * Whether other jobs with equal requirements find no capacity when this job finds none. They might find some
 * if the zones of this job's tasks, or machines excluded after its failures, limit where it can be placed.
 */
export function mayBlockShape({ spec, assignments, failures }: JobState): boolean {
  const isConstrainedByOwnTasks = dependsOnTaskZones(spec) && assignments.size > 0;
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
