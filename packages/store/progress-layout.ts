/** Divides the completed tasks of a job into progress records. */
import { MAX_TASKS } from '#wire';
import { PROGRESS_PREFIX } from './record-keys.js';

/** The value of one progress record. */
export interface ProgressValue {
  /** Bitmap of the completed tasks from `first` on, in base64. */
  done: string;
  /** Index of the first task; if absent, the last segment of the key times the chunk size of older versions. */
  first?: number;
}

/** Tasks of a job that share one progress record. */
export interface ProgressChunk {
  /** Key of the progress record. */
  key: string;
  /** Index of the first task. */
  first: number;
  /** Number of tasks. */
  tasks: number;
}

/** Maximum fraction of a value that the base64 bitmap may fill. */
const DONE_BITS_SHARE = 1 / 2;
/** Bytes encoded by one base64 character. */
const BYTES_PER_CHARACTER = 3 / 4;
const BITS_PER_BYTE = 8;

/**
 * Divides the completed tasks of a job into chunks, one per progress record. The last segment of a record's key is
 * a label: the index of the chunk's first task divided by the chunk size (the unit) of older versions, which follows
 * from the value limit of their settings. If a smaller limit is announced, a unit is divided into smaller chunks.
 * Their labels are fractions, from which older versions compute the same first task.
 */
export class ProgressLayout {
  /** Tasks per chunk in older versions. */
  readonly legacyChunkTasks: number;
  /** Tasks in the largest chunk that fits in a value. */
  private readonly maxChunkTasks: number;
  /** Tasks per chunk for jobs with more than `maxChunkTasks` tasks. */
  private readonly dividedChunkTasks: number;

  /** `valueBytes` is the value limit in force, `layoutBytes` that of older versions; both in bytes. */
  constructor({ valueBytes, layoutBytes }: { valueBytes: number; layoutBytes?: number }) {
    this.legacyChunkTasks = chunkTasks(layoutBytes ?? valueBytes);
    this.maxChunkTasks = chunkTasks(valueBytes);
    this.dividedChunkTasks = largestExactSize(this.legacyChunkTasks, this.maxChunkTasks);
  }

  /** Returns the chunk that contains `task` of a job with `tasks` tasks. */
  chunkOf(id: string, tasks: number, task: number): ProgressChunk {
    const size = tasks <= this.maxChunkTasks ? this.legacyChunkTasks : this.dividedChunkTasks;
    const first = Math.floor(task / size) * size;
    return { key: progressKey(id, labelOfTask(first, this.legacyChunkTasks)), first, tasks: size };
  }

  /** Index of the first task of a record; `label` is the last segment of its key. */
  firstTask(label: number, { first }: ProgressValue): number {
    return first ?? Math.round(label * this.legacyChunkTasks);
  }

  /** Encodes the value of a chunk, without `first` for the chunks that older versions write, too. */
  encodeChunk({ first }: ProgressChunk, done: string): ProgressValue {
    return first % this.legacyChunkTasks === 0 ? { done } : { done, first };
  }
}

/** Key of a progress record of a job; `label` is the chunk's position in multiples of the unit. */
export function progressKey(id: string, label: number): string {
  return `${PROGRESS_PREFIX}${id}/${label}`;
}

/** Number of tasks whose bitmap fits in a value of `valueBytes`. */
function chunkTasks(valueBytes: number): number {
  const bytes = Math.floor(valueBytes * DONE_BITS_SHARE * BYTES_PER_CHARACTER);
  return Math.max(BITS_PER_BYTE, bytes * BITS_PER_BYTE);
}

/** The largest chunk size of whole bytes, at most a unit and `maxTasks`, whose labels older versions read exactly. */
function largestExactSize(unit: number, maxTasks: number): number {
  let size = Math.min(unit, maxTasks);
  while (size > BITS_PER_BYTE && !areLabelsExact(unit, size)) size -= BITS_PER_BYTE;
  return size;
}

/** Whether older versions compute the first task of every chunk of `size` tasks exactly from its label. */
function areLabelsExact(unit: number, size: number): boolean {
  for (let first = 0; first < MAX_TASKS; first += size) {
    if (labelOfTask(first, unit) * unit !== first) return false;
  }
  return true;
}

/**
 * Label of a chunk that begins with `task`. Older versions multiply the label by the unit; the result must be `task`
 * despite floating-point rounding, so the neighbouring numbers are tried, too.
 */
function labelOfTask(task: number, unit: number): number {
  const label = task / unit;
  const candidates = [label, label * (1 + Number.EPSILON), label * (1 - Number.EPSILON)];
  return candidates.find((candidate) => candidate * unit === task) ?? label;
}
