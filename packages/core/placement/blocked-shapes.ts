import type { Job } from '#wire';
import type { Amounts } from '../model/amounts.js';
import { conditionsKey } from './bin-packing.js';

/** Jobs that fail alike in one round: best-effort jobs may use less room until they have waited long. */
export type BlockedKind = 'firm' | 'best-effort' | 'starved';

/** A need that found no place, and the rank of the job that had it. */
interface BlockedShape {
  need: Readonly<Amounts>;
  rank: number;
}

/**
 * What found no place in a round. A task that needs as much or more on the same conditions, of the same
 * rank or a lower one, finds none either: only room that was made for its own job could help it.
 */
export class BlockedShapes {
  private readonly byConditions = new Map<string, BlockedShape[]>();

  /** A task that any job of its conditions and `rank` could have had in its stead found no place. */
  add(job: Job, rank: number, kind: BlockedKind = 'firm'): void {
    const key = `${kind} ${conditionsKey(job)}`;
    const { cpus, gpus, memory } = job;
    const shape = { need: { cpus, gpus, memory }, rank };
    const kept = (this.byConditions.get(key) ?? []).filter((other) => !covers(shape, other));
    this.byConditions.set(key, [...kept, shape]);
  }

  /** Whether such a task certainly finds no place. `need` is the job's own unless given. */
  has(job: Job, rank: number, kind: BlockedKind = 'firm', need: Readonly<Amounts> = job): boolean {
    if (this.byConditions.size === 0) return false;
    const shapes = this.byConditions.get(`${kind} ${conditionsKey(job)}`);
    return shapes !== undefined && shapes.some((shape) => covers(shape, { need, rank }));
  }
}

function covers(blocked: BlockedShape, { need, rank }: BlockedShape): boolean {
  return (
    blocked.rank <= rank &&
    blocked.need.cpus <= need.cpus &&
    blocked.need.gpus <= need.gpus &&
    blocked.need.memory <= need.memory
  );
}
