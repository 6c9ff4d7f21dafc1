/** A local copy of all records under one prefix. */
import { listAll, pages, type StateClient } from '#store';
import type { Entry, WatchEvent } from '#wire';

/** Loads all records under a prefix ahead of time and later fetches only the changes since then. */
export class RecordCopy {
  private readonly entries = new Map<string, Entry>();
  /** The copy holds all changes up to this revision; null until it is loaded. */
  private revision: number | null = null;

  constructor(
    private readonly client: StateClient,
    private readonly prefix: string,
  ) {}

  /** Reads all records, page by page; rejects as the client does. */
  async load(signal: AbortSignal): Promise<void> {
    let firstRevision: number | null = null;
    for await (const page of pages(this.client, this.prefix, signal)) {
      // The copy counts as current up to the first page only: readCurrent fetches all changes made since.
      firstRevision ??= page.revision;
      for (const entry of page.entries) this.entries.set(entry.key, entry);
    }
    this.revision = firstRevision;
  }

  /** Returns the records as of a moment after the call; rejects as the client does. */
  async readCurrent(signal: AbortSignal): Promise<Entry[]> {
    const { client, prefix, revision } = this;
    if (revision === null) return listAll(client, prefix, signal);
    const changes = await client.callUrgent(signal, (api) =>
      api.changes(prefix, revision, 0, { signal }),
    );
    if (changes === 'too-old') return listAll(client, prefix, signal);
    for (const event of changes.events) this.apply(event);
    this.revision = changes.revision;
    return [...this.entries.values()];
  }

  /** Applies a change unless the copy holds a newer version, which a later page may have brought. */
  private apply({ key, value, version }: WatchEvent): void {
    const knownVersion = this.entries.get(key)?.version ?? 0;
    if (version < knownVersion) return;
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, { key, value, version });
  }
}
