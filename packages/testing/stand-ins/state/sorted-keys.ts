/** The sorted keys of the state service. */
import { lowerBound } from './binary-search.js';

/** Keeps the keys of the store sorted, so that listing a page needs no sort. */
export class SortedKeys {
  private readonly keys: string[] = [];

  /** Adds a key, which must be absent. */
  add(key: string): void {
    this.keys.splice(this.lowerBoundOf(key), 0, key);
  }

  /** Removes a key, which must be present. */
  remove(key: string): void {
    this.keys.splice(this.lowerBoundOf(key), 1);
  }

  /** Yields the keys with the prefix in order, starting after the key `after` if it is given. */
  *after(prefix: string, after: string | null): Generator<string> {
    let index = this.lowerBoundOf(prefix);
    if (after !== null && after >= prefix) {
      index = this.lowerBoundOf(after);
      if (this.keys[index] === after) index++;
    }
    for (; index < this.keys.length && this.keys[index].startsWith(prefix); index++) {
      yield this.keys[index];
    }
  }

  private lowerBoundOf(key: string): number {
    return lowerBound(this.keys.length, (index) => this.keys[index] < key);
  }
}
