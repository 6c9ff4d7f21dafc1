/** How the done tasks of a job are divided into progress records. */
import { MAX_TASKS } from '#wire';
import { PROGRESS } from './record-keys.js';

/** The value of one progress record. */
export interface ProgressValue {
  /** Done bits of the tasks from `first` on, in base64. */
  done: string;
  /** The first task; absent: what the key says, counted in the chunks of `ProgressLayout.unit`. */
  first?: number;
}

/** Tasks of a job that share one progress record. */
export interface ProgressChunk {
  /** Key of the record. */
  key: string;
  /** The first task. */
  first: number;
  /** Number of tasks. */
  tasks: number;
}

/** Share of a value that done bits in base64 may fill. */
const DONE_BITS_SHARE = 1 / 2;
/** Bytes that a character of base64 holds. */
const BYTES_PER_CHARACTER = 3 / 4;
const BITS_PER_BYTE = 8;

/**
 * How the done tasks of a job are divided into records. Older versions count the chunk that a key names in units
 * that follow from the value limit of their settings. Where a smaller limit is to come a unit is divided further;
 * the key then names the place of a chunk as a fraction of units, which older versions read as the same tasks.
 */
export class ProgressLayout {
  /** Tasks in the chunks of older versions. */
  readonly unit: number;
  /** Tasks of the largest chunk that a value holds. */
  private readonly maxChunkTasks: number;
  /** Tasks in the chunks of jobs that have more. */
  private readonly dividedChunkTasks: number;

  /** `valueBytes` is the value limit in force, `layoutBytes` that of older versions; bytes. */
  constructor({ valueBytes, layoutBytes }: { valueBytes: number; layoutBytes?: number }) {
    this.unit = chunkTasks(layoutBytes ?? valueBytes);
    this.maxChunkTasks = chunkTasks(valueBytes);
    this.dividedChunkTasks = largestExactSize(this.unit, this.maxChunkTasks);
  }

  /** The chunk that holds one task of a job with so many tasks. */
  chunkOf(id: string, tasks: number, task: number): ProgressChunk {
    const size = tasks <= this.maxChunkTasks ? this.unit : this.dividedChunkTasks;
    const first = Math.floor(task / size) * size;
    return { key: progressKey(id, labelOfTask(first, this.unit)), first, tasks: size };
  }

  /** The first task of a record; `label` is the last segment of its key. */
  firstTask(label: number, { first }: ProgressValue): number {
    return first ?? Math.round(label * this.unit);
  }

  /** The value for the chunk. Those that older versions write as well keep their form. */
  valueOf({ first }: ProgressChunk, done: string): ProgressValue {
    return first % this.unit === 0 ? { done } : { done, first };
  }
}

/** Key of the progress record of a job, where `label` counts units. */
export function progressKey(id: string, label: number): string {
  return `${PROGRESS}${id}/${label}`;
}

/** Tasks whose done bits share one value of so many bytes. */
function chunkTasks(valueBytes: number): number {
  const bytes = Math.floor(valueBytes * DONE_BITS_SHARE * BYTES_PER_CHARACTER);
  return Math.max(BITS_PER_BYTE, bytes * BITS_PER_BYTE);
}

/** The largest fraction of a unit, in whole bytes and at most so many tasks, whose places older versions find exactly. */
function largestExactSize(unit: number, maxTasks: number): number {
  let size = Math.min(unit, maxTasks);
  while (size > BITS_PER_BYTE && !areLabelsExact(unit, size)) size -= BITS_PER_BYTE;
  return size;
}

/** Whether older versions find every chunk of so many tasks at the place that its key names. */
function areLabelsExact(unit: number, size: number): boolean {
  for (let first = 0; first < MAX_TASKS; first += size) {
    if (labelOfTask(first, unit) * unit !== first) return false;
  }
  return true;
}

/** The place of a task in units, such that older versions find it by multiplying what the key says with the unit. */
function labelOfTask(task: number, unit: number): number {
  const label = task / unit;
  const candidates = [label, label * (1 + Number.EPSILON), label * (1 - Number.EPSILON)];
  return candidates.find((candidate) => candidate * unit === task) ?? label;
}
