import { Subject } from 'rxjs';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Entry, WatchEvent } from '#wire';
import { StateClient, steady } from './client.js';

export class NotReady extends Error {}

/**
 * All keys under a prefix, kept current by a watch. `sync` is the read index: one cheap request,
 * sent after the call, brings the cache to the service's revision for all who wait.
 */
export class PrefixCache {
  private readonly versions = new Map<string, number>();
  private revision: number | null = null;
  private syncing: Promise<void> | null = null;
  private queued: Promise<void> | null = null;
  private lastSyncAt = -Infinity;
  /** When the newest request that brought the cache up to date was sent. */
  syncedAt = -Infinity;
  readonly changes = new Subject<WatchEvent>();

  constructor(
    private readonly client: StateClient,
    readonly prefix: string,
    private readonly watchMs: number,
    private readonly syncSpacingMs: number,
    /**
     * Pause between two answers of the watch. Without it each change of any job wakes every controller
     * at once, and these wakes were most of what the controllers that own nothing did.
     */
    private readonly gatherMs: () => number = () => 0,
  ) {}

  get ready(): boolean {
    return this.revision !== null;
  }

  /** All changes up to this revision are in the cache; 0 before it is loaded. */
  get completeTo(): number {
    return this.revision ?? 0;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        if (this.revision === null) await this.load(signal);
        const after = this.revision!;
        const sentAt = steady();
        const out = await this.client.call(false, signal, (api) =>
          api.changes(this.prefix, after, this.watchMs, signal),
        );
        if (out === 'too-old') this.revision = null;
        else {
          this.apply(out.events, out.revision);
          this.syncedAt = Math.max(this.syncedAt, sentAt);
        }
        await sleep(this.gatherMs(), undefined, { signal });
      } catch {
        if (signal.aborted) return;
        await sleep(200 + Math.random() * 300, undefined, { signal }).catch(() => {});
      }
    }
  }

  /** Resolves once the cache holds all that was durable when this was called. */
  sync(): Promise<void> {
    if (this.revision === null) return Promise.reject(new NotReady());
    // The request in flight may have been sent too early; all later callers share the next one.
    if (this.syncing === null) return this.startSync();
    this.queued ??= this.syncing
      .catch(() => {})
      .then(() => {
        this.queued = null;
        return this.startSync();
      });
    return this.queued;
  }

  private startSync(): Promise<void> {
    const run = (async () => {
      const pause = this.lastSyncAt + this.syncSpacingMs - performance.now();
      if (pause > 0) await sleep(pause);
      this.lastSyncAt = performance.now();
      const sentAt = steady();
      const after = this.revision;
      if (after === null) throw new NotReady();
      const out = await this.client.call(true, undefined, (api) =>
        api.changes(this.prefix, after, 0),
      );
      if (out === 'too-old') {
        this.revision = null;
        throw new NotReady();
      }
      this.apply(out.events, out.revision);
      this.syncedAt = Math.max(this.syncedAt, sentAt);
    })();
    this.syncing = run;
    const done = () => {
      if (this.syncing === run) this.syncing = null;
    };
    run.then(done, done);
    return run;
  }

  /** Takes in an entry that this process has written or read itself. */
  learn(key: string, value: unknown, version: number): void {
    this.take({ key, value, version });
  }

  private async load(signal: AbortSignal): Promise<void> {
    const sentAt = steady();
    const { entries, revision: base } = await listAll(this.client, this.prefix, signal);
    const seen = new Set<string>();
    for (const e of entries) {
      seen.add(e.key);
      this.take(e);
    }
    for (const [key, version] of this.versions) {
      if (!seen.has(key) && version <= base) this.take({ key, version: base });
    }
    this.revision = base;
    this.syncedAt = sentAt;
  }

  private apply(events: WatchEvent[], revision: number): void {
    for (const e of events) this.take(e);
    if (this.revision !== null) this.revision = Math.max(this.revision, revision);
  }

  private take(e: WatchEvent): void {
    const known = this.versions.get(e.key) ?? 0;
    if (e.version <= known) return;
    this.versions.set(e.key, e.version);
    this.changes.next(e);
  }
}

/** All entries under a prefix, page by page, with the revision of the first page. */
export async function listAll(
  client: StateClient,
  prefix: string,
  signal?: AbortSignal,
): Promise<{ entries: Entry[]; revision: number }> {
  const entries: Entry[] = [];
  let revision: number | null = null;
  for (;;) {
    const after: string | null = entries.at(-1)?.key ?? null;
    const page: { entries: Entry[]; more: boolean; revision: number } = await client.call(
      true,
      signal,
      (api) => api.list(prefix, after, signal),
    );
    revision ??= page.revision;
    entries.push(...page.entries);
    if (!page.more || page.entries.length === 0) return { entries, revision };
  }
}
