/** A cache of all keys under a prefix that a watch keeps up to date. */
import { Subject } from 'rxjs';
import { pause, type Runtime, sleep, type WatchEvent } from '#wire';
import { listPages } from './pages.js';
import type { StateClient } from './state-client.js';

/** Delay before a failed watch is retried: a minimum, plus a random part up to the jitter. */
const MIN_RETRY_DELAY_MS = 200;
const RETRY_JITTER_MS = 300;

/** Factor by which the limit of an answer with changes grows with each load in a row. */
const CHANGES_LIMIT_GROWTH = 2;

/** The cache cannot be synchronised, since a full load of its keys must complete first. */
export class CacheNotLoaded extends Error {
  override readonly name = 'NotReady';

  constructor(
    /** Prefix of the cached keys. */
    readonly prefix: string,
  ) {
    super(`the keys under ${prefix} are not loaded`);
  }
}

/** Dependencies and timing of a `PrefixCache`. */
export interface PrefixCacheOptions {
  client: StateClient;
  runtime: Runtime;
  /** Prefix of the cached keys; ends with a slash. */
  prefix: string;
  /** Long-poll timeout of a watch request. */
  watchMs: number;
  /** Minimum interval between two requests of `sync`. */
  syncSpacingMs: number;
  /**
   * Pause after each answer of the watch, 0 by default. Without a pause each change of any job wakes every
   * controller at once, and these wake-ups were most of the work of the followers.
   */
  watchPauseMs?: () => number;
  /** Limit of an answer with changes, in bytes; beyond it the keys are loaded again. Unlimited by default. */
  maxChangesBytes?: number;
}

/**
 * A cache of all keys under a prefix, kept up to date by a watch. `sync` makes reads linearizable (the
 * ReadIndex of Raft): one small request, sent after the call, brings the cache to the service's current
 * revision on behalf of all callers that wait.
 */
export class PrefixCache {
  private readonly versions = new Map<string, number>();
  /** Limit of the next answer with changes, in bytes. */
  private maxChangesBytes: number;
  /** Revision up to which the cache holds all changes; null while a full load is needed. */
  private loadedRevision: number | null = null;
  /** The synchronisation in flight. */
  private currentSync: Promise<void> | null = null;
  /** The synchronisation after `currentSync`, shared by all callers that arrive while that one is in flight. */
  private nextSync: Promise<void> | null = null;
  /** Send time of the latest synchronisation request, in seconds of the monotonic clock. */
  private lastSyncAt = -Infinity;
  /** Send time of the latest request that brought the cache up to date, in seconds of the monotonic clock. */
  syncedAt = -Infinity;
  /** Emits each change as it is applied to the cache. */
  readonly changes = new Subject<WatchEvent>();

  constructor(private readonly options: PrefixCacheOptions) {
    this.maxChangesBytes = options.maxChangesBytes ?? Infinity;
  }

  /** Whether the keys are loaded. */
  get isLoaded(): boolean {
    return this.loadedRevision !== null;
  }

  /** Revision up to which the cache holds all changes; 0 before it is loaded. */
  get revision(): number {
    return this.loadedRevision ?? 0;
  }

  /** Keeps the cache up to date until the signal aborts; never rejects. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.watchOnce(signal);
      } catch {
        // An error loses no change: the next request asks for all changes since loadedRevision.
        await this.pauseBeforeRetry(signal);
      }
    }
  }

  /**
   * Resolves once the cache holds all changes that were durable at the time of the call. Rejects with
   * `CacheNotLoaded` if the keys are not loaded, and with the error of the request if it fails.
   */
  sync(): Promise<void> {
    if (this.loadedRevision === null)
      return Promise.reject(new CacheNotLoaded(this.options.prefix));
    // The request in flight may have been sent before the latest changes; later callers share the next one.
    if (this.currentSync === null) return this.startSync();
    this.nextSync ??= this.currentSync
      .catch(() => {
        // The callers of the failed synchronisation get its error; the next one is sent regardless.
      })
      .then(() => {
        this.nextSync = null;
        return this.startSync();
      });
    return this.nextSync;
  }

  /** Applies an entry that this process has written, or read outside the watch. */
  applyLocal(key: string, value: unknown, version: number): void {
    this.applyEvent({ key, value, version });
  }

  /** Loads the keys if needed, then waits for the next changes. */
  private async watchOnce(signal: AbortSignal): Promise<void> {
    const { client, runtime, prefix, watchMs, watchPauseMs } = this.options;
    if (this.loadedRevision === null) await this.load(signal);
    const after = this.loadedRevision;
    // A concurrent `sync` may have found that the revision is too old (compacted).
    if (after === null) return;
    const sentAt = runtime.clock.now();
    const outcome = await client.callInBackground(signal, (api) =>
      api.changes(prefix, after, watchMs, { signal, maxBytes: this.maxChangesBytes }),
    );
    if (outcome === 'too-old') {
      this.requireLoad();
    } else {
      this.applyAll(outcome.events, outcome.revision);
      this.syncedAt = Math.max(this.syncedAt, sentAt);
    }
    await sleep(runtime.clock, watchPauseMs?.() ?? 0, signal);
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
    if (delayMs > 0) await sleep(clock, delayMs, client.closeSignal);
    const sentAt = clock.now();
    this.lastSyncAt = sentAt;
    const after = this.loadedRevision;
    if (after === null) throw new CacheNotLoaded(prefix);
    const { maxChangesBytes: maxBytes } = this;
    const outcome = await client.callUrgent(undefined, (api) =>
      api.changes(prefix, after, 0, { maxBytes }),
    );
    if (outcome === 'too-old') {
      this.requireLoad();
      throw new CacheNotLoaded(prefix);
    }
    this.applyAll(outcome.events, outcome.revision);
    this.syncedAt = Math.max(this.syncedAt, sentAt);
  }

  /** Makes the next step load all keys. So many changes may come during the load that the limit has to rise. */
  private requireLoad(): void {
    this.loadedRevision = null;
    this.maxChangesBytes *= CHANGES_LIMIT_GROWTH;
  }

  private async load(signal: AbortSignal): Promise<void> {
    const { client, runtime, prefix } = this.options;
    const sentAt = runtime.clock.now();
    const loadedKeys = new Set<string>();
    let firstRevision: number | null = null;
    // Applied page by page: all entries at once would take several times the memory of what is kept of them.
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

  /** Removes the keys that a full listing at `revision` did not contain. */
  private removeMissing(loadedKeys: Set<string>, revision: number): void {
    for (const [key, version] of this.versions) {
      if (!loadedKeys.has(key) && version <= revision) this.applyEvent({ key, version: revision });
    }
  }

  private applyAll(events: WatchEvent[], revision: number): void {
    this.maxChangesBytes = this.options.maxChangesBytes ?? Infinity;
    for (const event of events) this.applyEvent(event);
    if (this.loadedRevision !== null) {
      this.loadedRevision = Math.max(this.loadedRevision, revision);
    }
  }

  /** Applies an event unless a newer version of its key is known. */
  private applyEvent(event: WatchEvent): void {
    const knownVersion = this.versions.get(event.key) ?? 0;
    if (event.version <= knownVersion) return;
    this.versions.set(event.key, event.version);
    this.changes.next(event);
  }
}
