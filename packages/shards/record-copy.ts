import { listAll, pages, type StateClient } from '#store';
import type { Entry, WatchEvent } from '#wire';

/** All records under a prefix, read ahead of time and brought up to date by what has changed since. */
class RecordCopy {
  private readonly entries = new Map<string, Entry>();
  /** All changes up to this revision are in. */
  private revision: number | null = null;

  constructor(
    private readonly client: StateClient,
    private readonly prefix: string,
  ) {}

  async load(signal: AbortSignal): Promise<void> {
    let base: number | null = null;
    for await (const page of pages(this.client, this.prefix, signal)) {
      // What changes while later pages are read is read once more with the changes.
      base ??= page.revision;
      for (const entry of page.entries) this.entries.set(entry.key, entry);
    }
    this.revision = base;
  }

  /** The records as of a moment after this was called. */
  async upToDate(signal: AbortSignal): Promise<Entry[]> {
    const { client, prefix, revision } = this;
    if (revision === null) return listAll(client, prefix, signal);
    const out = await client.call(true, signal, (api) => api.changes(prefix, revision, 0, signal));
    if (out === 'too-old') return listAll(client, prefix, signal);
    for (const event of out.events) this.apply(event);
    this.revision = out.revision;
    return [...this.entries.values()];
  }

  /** A later page may have brought something newer already. */
  private apply({ key, value, version }: WatchEvent): void {
    const known = this.entries.get(key)?.version ?? 0;
    if (version < known) return;
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, { key, value, version });
  }
}

/** Copies of the records that a new owner reads, made before it owns so that little is left to read afterwards. */
export class RecordsAhead {
  private copies = new Map<string, RecordCopy>();

  constructor(
    private readonly client: StateClient,
    private readonly prefixes: readonly string[],
  ) {}

  /** Reads all that is not read yet. */
  async prepare(signal: AbortSignal): Promise<void> {
    const missing = this.prefixes.filter((prefix) => !this.copies.has(prefix));
    const copies = missing.map((prefix) => [prefix, new RecordCopy(this.client, prefix)] as const);
    await Promise.all(copies.map(([, copy]) => copy.load(signal)));
    for (const [prefix, copy] of copies) this.copies.set(prefix, copy);
  }

  /** All records under a prefix as of a moment after this was called; a copy serves once. */
  async read(prefix: string, signal: AbortSignal): Promise<Entry[]> {
    const copy = this.copies.get(prefix);
    this.copies.delete(prefix);
    return copy ? copy.upToDate(signal) : listAll(this.client, prefix, signal);
  }

  /** The copies will not be needed. */
  forget(): void {
    this.copies.clear();
  }
}
