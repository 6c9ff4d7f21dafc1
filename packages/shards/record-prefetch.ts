/** Prefetches the records that a new leader loads, which shortens the time without decisions in a planned transfer. */
import { listAll, type StateClient } from '#store';
import type { Entry } from '#wire';
import { RecordCopy } from './record-copy.js';

/** Copies of the records that a new leader loads, made before the shard is transferred to it. */
export class RecordPrefetch {
  private readonly copies = new Map<string, RecordCopy>();

  constructor(
    private readonly client: StateClient,
    private readonly prefixes: readonly string[],
  ) {}

  /** Loads all records under the prefixes that have no copy yet; rejects as the client does. */
  async prepare(signal: AbortSignal): Promise<void> {
    const missing = this.prefixes.filter((prefix) => !this.copies.has(prefix));
    const loading = missing.map(async (prefix) => {
      const copy = new RecordCopy(this.client, prefix);
      await copy.load(signal);
      return { prefix, copy };
    });
    for (const { prefix, copy } of await Promise.all(loading)) this.copies.set(prefix, copy);
  }

  /** Returns all records under a prefix as of a moment after the call. Each copy is used for one read only. */
  async read(prefix: string, signal: AbortSignal): Promise<Entry[]> {
    const copy = this.copies.get(prefix);
    this.copies.delete(prefix);
    return copy ? copy.readCurrent(signal) : listAll(this.client, prefix, signal);
  }

  /** Drops all copies. */
  clear(): void {
    this.copies.clear();
  }
}
