/** A copy of all keys under a prefix that a watch keeps current. */
import { Subject } from 'rxjs';
import { pause, type Runtime, sleep, type WatchEvent } from '#wire';
import { listPages } from './pages.js';
import type { StateClient } from './state-client.js';

/** Before a failed watch is tried again: at least so long, and up to so much longer. */
const MIN_RETRY_DELAY_MS = 200;
const RETRY_JITTER_MS = 300;

/** The cache cannot be brought up to date now, since its keys must be read from the start first. */
export class CacheNotLoaded extends Error {
  override readonly name = 'NotReady';

  constructor(
    /** Prefix of the cached keys. */
    readonly prefix: string,
  ) {
    super(`the keys under ${prefix} are not loaded`);
  }
}

/** What a cache needs, and how often it may ask. */
export interface PrefixCacheOptions {
  client: StateClient;
  runtime: Runtime;
  /** Prefix of the cached keys, which ends with a slash. */
  prefix: string;
  /** How long the service may hold a request of the watch. */
  watchMs: number;
  /** Least time between two read indexes. */
  syncSpacingMs: number;
  /**
   * Pause between two answers of the watch, 0 by default. Without it each change of any job wakes every
   * controller at once, and these wakes were most of what the followers did.
   */
  gatherMs?: () => number;
}

/**
 * All keys under a prefix, kept current by a watch. `sync` is the read index: one cheap request,
 * sent after the call, brings the cache to the service's revision for all who wait.
 */
export class PrefixCache {
  private readonly versions = new Map<string, number>();
  /** All changes up to this revision are in the cache; null while the keys must be loaded. */
  private loadedRevision: number | null = null;
  /** The read index that is under way. */
  private currentSync: Promise<void> | null = null;
  /** The read index that follows it, for all who ask meanwhile. */
  private nextSync: Promise<void> | null = null;
  /** When the last read index was sent; steady seconds. */
  private lastSyncAt = -Infinity;
  /** When the newest request that brought the cache up to date was sent; steady seconds. */
  syncedAt = -Infinity;
  /** Each change, once it is in the cache. */
  readonly changes = new Subject<WatchEvent>();

  constructor(private readonly options: PrefixCacheOptions) {}

  /** The keys are loaded. */
  get isLoaded(): boolean {
    return this.loadedRevision !== null;
  }

  /** All changes up to this revision are in the cache; 0 before it is loaded. */
  get revision(): number {
    return this.loadedRevision ?? 0;
  }

  /** Keeps the cache current until the signal aborts; never rejects. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.watchOnce(signal);
      } catch {
        // Whatever failed, no change is lost: the next request asks for all since loadedRevision.
        await this.pauseBeforeRetry(signal);
      }
    }
  }

  /** Resolves once the cache holds all that was durable when this was called; rejects with CacheNotLoaded. */
  sync(): Promise<void> {
    if (this.loadedRevision === null)
      return Promise.reject(new CacheNotLoaded(this.options.prefix));
    // The request in flight may have been sent too early; all later callers share the next one.
    if (this.currentSync === null) return this.startSync();
    this.nextSync ??= this.currentSync
      .catch(() => {
        // Those who asked for that read index are told; this one is sent all the same.
      })
      .then(() => {
        this.nextSync = null;
        return this.startSync();
      });
    return this.nextSync;
  }

  /** Adds an entry that this process has written or read itself. */
  applyLocal(key: string, value: unknown, version: number): void {
    this.applyEvent({ key, value, version });
  }

  /** Loads the keys if needed, then waits for their next changes. */
  private async watchOnce(signal: AbortSignal): Promise<void> {
    const { client, runtime, prefix, watchMs, gatherMs } = this.options;
    if (this.loadedRevision === null) await this.load(signal);
    const after = this.loadedRevision;
    // A read index that was answered meanwhile may have found the revision too old.
    if (after === null) return;
    const sentAt = runtime.clock.now();
    const outcome = await client.callInBackground(signal, (api) =>
      api.changes(prefix, after, watchMs, signal),
    );
    if (outcome === 'too-old') {
      this.loadedRevision = null;
    } else {
      this.applyAll(outcome.events, outcome.revision);
      this.syncedAt = Math.max(this.syncedAt, sentAt);
    }
    await sleep(runtime.clock, gatherMs?.() ?? 0, signal);
  }

  private async pauseBeforeRetry(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const { runtime } = this.options;
    const delayMs = MIN_RETRY_DELAY_MS + runtime.random() * RETRY_JITTER_MS;
    await pause(runtime.clock, delayMs, signal);
  }

  private startSync(): Promise<void> {
    const sync = this.readIndex();
    this.currentSync = sync;
    const finish = () => {
      if (this.currentSync === sync) this.currentSync = null;
    };
    sync.then(finish, finish);
    return sync;
  }

  private async readIndex(): Promise<void> {
    const { client, runtime, prefix, syncSpacingMs } = this.options;
    const { clock } = runtime;
    const delayMs = (this.lastSyncAt - clock.now()) * 1000 + syncSpacingMs;
    if (delayMs > 0) await sleep(clock, delayMs, client.closed);
    const sentAt = clock.now();
    this.lastSyncAt = sentAt;
    const after = this.loadedRevision;
    if (after === null) throw new CacheNotLoaded(prefix);
    const outcome = await client.callUrgent(undefined, (api) => api.changes(prefix, after, 0));
    if (outcome === 'too-old') {
      this.loadedRevision = null;
      throw new CacheNotLoaded(prefix);
    }
    this.applyAll(outcome.events, outcome.revision);
    this.syncedAt = Math.max(this.syncedAt, sentAt);
  }

  private async load(signal: AbortSignal): Promise<void> {
    const { client, runtime, prefix } = this.options;
    const sentAt = runtime.clock.now();
    const loadedKeys = new Set<string>();
    let firstRevision: number | null = null;
    // Page by page: all entries at once would be several times what is kept of them.
    for await (const page of listPages(client, prefix, signal)) {
      firstRevision ??= page.revision;
      for (const entry of page.entries) {
        loadedKeys.add(entry.key);
        this.applyEvent(entry);
      }
    }
    this.removeMissing(loadedKeys, firstRevision ?? 0);
    this.loadedRevision = firstRevision;
    this.syncedAt = sentAt;
  }

  /** Keys that are not among all keys of a revision were removed before it. */
  private removeMissing(loadedKeys: Set<string>, revision: number): void {
    for (const [key, version] of this.versions) {
      if (!loadedKeys.has(key) && version <= revision) this.applyEvent({ key, version: revision });
    }
  }

  private applyAll(events: WatchEvent[], revision: number): void {
    for (const event of events) this.applyEvent(event);
    if (this.loadedRevision !== null) {
      this.loadedRevision = Math.max(this.loadedRevision, revision);
    }
  }

  /** Events that are older than what is known of their key change nothing. */
  private applyEvent(event: WatchEvent): void {
    const knownVersion = this.versions.get(event.key) ?? 0;
    if (event.version <= knownVersion) return;
    this.versions.set(event.key, event.version);
    this.changes.next(event);
  }
}
