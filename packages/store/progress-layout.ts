import { MAX_TASKS } from '#wire';
import { PROGRESS } from './record-keys.js';

/** The value of one progress record. */
export interface ProgressValue {
  /** Done bits of the tasks from `first` on, in base64. */
  done: string;
  /** Absent: what the key says, counted in the chunks of `ProgressLayout.unit`. */
  first?: number;
}

/** Tasks of a job that share one progress record. */
export interface ProgressChunk {
  key: string;
  first: number;
  tasks: number;
}

/** Share of a value that done bits in base64 fill, and bytes that a byte of base64 holds. */
const FILLED = 1 / 2;
const BYTES_PER_CHARACTER = 3 / 4;

/**
 * How the done tasks of a job are divided into records. Older versions count the chunk that a key names in units
 * that follow from the value limit of their settings. Where a smaller limit is to come a unit is divided further;
 * the key then names the place of a chunk as a fraction of units, which older versions read as the same tasks.
 */
export class ProgressLayout {
  /** Tasks in the chunks of older versions. */
  readonly unit: number;
  private readonly mostTasks: number;
  private readonly dividedTasks: number;

  constructor({ valueBytes, layoutBytes }: { valueBytes: number; layoutBytes?: number }) {
    this.unit = chunkTasks(layoutBytes ?? valueBytes);
    this.mostTasks = chunkTasks(valueBytes);
    this.dividedTasks = divide(this.unit, this.mostTasks);
  }

  /** The chunk that holds the task of a job of so many tasks. */
  chunkOf(id: string, tasks: number, task: number): ProgressChunk {
    const size = tasks <= this.mostTasks ? this.unit : this.dividedTasks;
    const first = Math.floor(task / size) * size;
    return { key: progressKey(id, placeInUnits(first, this.unit)), first, tasks: size };
  }

  /** The first task that the record tells of; `label` is the last part of its key. */
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
  return Math.max(8, Math.floor(valueBytes * FILLED * BYTES_PER_CHARACTER) * 8);
}

/** The largest part of a unit, in whole bytes and at most so many tasks, whose places older versions find exactly. */
function divide(unit: number, mostTasks: number): number {
  let size = Math.min(unit, mostTasks);
  while (size > 8 && !arePlacesExact(unit, size)) size -= 8;
  return size;
}

function arePlacesExact(unit: number, size: number): boolean {
  for (let first = 0; first < MAX_TASKS; first += size) {
    if (placeInUnits(first, unit) * unit !== first) return false;
  }
  return true;
}

/** The place of a task in units, such that older versions find it by multiplying what the key says with the unit. */
function placeInUnits(task: number, unit: number): number {
  const place = task / unit;
  const neighbours = [place, place * (1 + Number.EPSILON), place * (1 - Number.EPSILON)];
  return neighbours.find((each) => each * unit === task) ?? place;
}
