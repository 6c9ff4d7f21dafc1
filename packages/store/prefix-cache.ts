import { Subject } from 'rxjs';
import { pause, Runtime, sleep, WatchEvent } from '#wire';
import { StateClient } from './state-client.js';
import { pages } from './pages.js';

/** Before a failed watch is tried again: at least so long, and up to so much longer. */
const RETRY_MS = 200;
const RETRY_SPREAD_MS = 300;

export class NotReady extends Error {}

export interface PrefixCacheOptions {
  client: StateClient;
  runtime: Runtime;
  prefix: string;
  /** How long the service may hold a request of the watch. */
  watchMs: number;
  /** Least time between two read indexes. */
  syncSpacingMs: number;
  /**
   * Pause between two answers of the watch, 0 by default. Without it each change of any job wakes every
   * controller at once, and these wakes were most of what the controllers that own nothing did.
   */
  gatherMs?: () => number;
}

/**
 * All keys under a prefix, kept current by a watch. `sync` is the read index: one cheap request,
 * sent after the call, brings the cache to the service's revision for all who wait.
 */
export class PrefixCache {
  private readonly versions = new Map<string, number>();
  private revision: number | null = null;
  private syncing: Promise<void> | null = null;
  private queued: Promise<void> | null = null;
  /** When the last read index was sent; steady seconds. */
  private lastSyncAt = -Infinity;
  /** When the newest request that brought the cache up to date was sent. */
  syncedAt = -Infinity;
  readonly changes = new Subject<WatchEvent>();

  constructor(private readonly options: PrefixCacheOptions) {}

  get ready(): boolean {
    return this.revision !== null;
  }

  /** All changes up to this revision are in the cache; 0 before it is loaded. */
  get completeTo(): number {
    return this.revision ?? 0;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { client, runtime, prefix, watchMs, gatherMs } = this.options;
    while (!signal.aborted) {
      try {
        if (this.revision === null) await this.load(signal);
        const after = this.revision!;
        const sentAt = runtime.clock.now();
        const out = await client.call(false, signal, (api) =>
          api.changes(prefix, after, watchMs, signal),
        );
        if (out === 'too-old') this.revision = null;
        else {
          this.apply(out.events, out.revision);
          this.syncedAt = Math.max(this.syncedAt, sentAt);
        }
        await sleep(runtime.clock, gatherMs?.() ?? 0, signal);
      } catch {
        if (signal.aborted) return;
        const delayMs = RETRY_MS + runtime.random() * RETRY_SPREAD_MS;
        await pause(runtime.clock, delayMs, signal);
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
    const run = this.readIndex();
    this.syncing = run;
    const done = () => {
      if (this.syncing === run) this.syncing = null;
    };
    run.then(done, done);
    return run;
  }

  private async readIndex(): Promise<void> {
    const { client, runtime, prefix, syncSpacingMs } = this.options;
    const { clock } = runtime;
    const delayMs = (this.lastSyncAt - clock.now()) * 1000 + syncSpacingMs;
    if (delayMs > 0) await sleep(clock, delayMs, client.closed);
    const sentAt = clock.now();
    this.lastSyncAt = sentAt;
    const after = this.revision;
    if (after === null) throw new NotReady();
    const out = await client.call(true, undefined, (api) => api.changes(prefix, after, 0));
    if (out === 'too-old') {
      this.revision = null;
      throw new NotReady();
    }
    this.apply(out.events, out.revision);
    this.syncedAt = Math.max(this.syncedAt, sentAt);
  }

  /** Takes in an entry that this process has written or read itself. */
  applyLocal(key: string, value: unknown, version: number): void {
    this.applyEvent({ key, value, version });
  }

  private async load(signal: AbortSignal): Promise<void> {
    const { client, runtime, prefix } = this.options;
    const sentAt = runtime.clock.now();
    const seen = new Set<string>();
    let base: number | null = null;
    // Page by page: all entries at once would be several times what is kept of them.
    for await (const page of pages(client, prefix, signal)) {
      base ??= page.revision;
      for (const entry of page.entries) {
        seen.add(entry.key);
        this.applyEvent(entry);
      }
    }
    this.forgetMissing(seen, base ?? 0);
    this.revision = base;
    this.syncedAt = sentAt;
  }

  /** What is not among all keys of a revision was removed before it. */
  private forgetMissing(seen: Set<string>, base: number): void {
    for (const [key, version] of this.versions) {
      if (!seen.has(key) && version <= base) this.applyEvent({ key, version: base });
    }
  }

  private apply(events: WatchEvent[], revision: number): void {
    for (const event of events) this.applyEvent(event);
    if (this.revision !== null) this.revision = Math.max(this.revision, revision);
  }

  /** Older events than what is known of their key change nothing. */
  private applyEvent(event: WatchEvent): void {
    const known = this.versions.get(event.key) ?? 0;
    if (event.version <= known) return;
    this.versions.set(event.key, event.version);
    this.changes.next(event);
  }
}
