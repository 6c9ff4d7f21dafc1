/** The order of the keys in the state service. */
import { lowerBound } from './binary-search.js';

/** The keys of the store in their order, so that a page is found without sorting. */
export class SortedKeys {
  private readonly keys: string[] = [];

  /** Adds a key that is not there yet. */
  add(key: string): void {
    this.keys.splice(this.lowerBoundOf(key), 0, key);
  }

  /** Removes a key that is there. */
  remove(key: string): void {
    this.keys.splice(this.lowerBoundOf(key), 1);
  }

  /** The keys with the prefix that come after another key, one by one. */
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
