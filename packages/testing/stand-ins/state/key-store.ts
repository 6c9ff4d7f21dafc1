/** The data of the state service: versioned keys, the store revision and a history of recent changes. */
import type { Change, Condition, Entry, WatchEvent, WatchOutcome } from '#wire';
import { entryToWire, wireSize } from '#wire/serving';
import { lowerBound } from './binary-search.js';
import { SortedKeys } from './sorted-keys.js';

/** Number of past changes that a watch can read. Older ones are answered with "too old". */
export const RETAINED_CHANGES = 10_000;
const MAX_PAGE_BYTES = 512 * 1024;

/** An entry and the lease that its key is attached to. */
export interface StoredEntry extends Entry {
  /** Null: the key is attached to no lease. */
  lease: number | null;
}

/** Versioned keys that transactions change, and that lists and watches read. */
export class KeyStore {
  private readonly entries = new Map<string, StoredEntry>();
  private readonly order = new SortedKeys();
  private readonly keysOfLease = new Map<number, Set<string>>();
  private changeLog: WatchEvent[] = [];
  /** Revision of the newest change that was dropped from the change log. */
  private trimmedRevision = 0;
  private currentRevision = 0;

  /** `onChange` receives the keys that each transaction put or deleted. */
  constructor(private readonly onChange: (keys: string[]) => void = () => undefined) {}

  get revision(): number {
    return this.currentRevision;
  }

  get(key: string): StoredEntry | undefined {
    return this.entries.get(key);
  }

  /** Returns a page of at most `limit` entries and 512 KiB, and whether more entries follow. */
  list(
    prefix: string,
    after: string | null,
    limit: number,
  ): { entries: StoredEntry[]; more: boolean } {
    const page: StoredEntry[] = [];
    let bytes = 0;
    for (const key of this.order.after(prefix, after)) {
      const entry = this.entries.get(key);
      if (!entry) throw new Error(`key ${key} is in the key order but has no entry`);
      bytes += wireSize(entryToWire(entry));
      const full = page.length === limit || (bytes > MAX_PAGE_BYTES && page.length > 0);
      if (full) return { entries: page, more: true };
      page.push(entry);
    }
    return { entries: page, more: false };
  }

  /** Returns the keys whose version differs from the one that the condition requires; 0 means absent. */
  failedConditions(conditions: Condition[]): string[] {
    return conditions
      .filter(({ key, version }) => (this.entries.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
  }

  /** Applies the changes under one new revision and returns that revision. */
  apply(changes: Change[]): number {
    this.currentRevision++;
    for (const change of changes) {
      if ('put' in change) this.put(change.put, change.value, change.lease ?? null);
      else this.remove(change.delete);
    }
    this.trimLog();
    this.onChange(changes.map((change) => ('put' in change ? change.put : change.delete)));
    return this.currentRevision;
  }

  keysWithLease(lease: number): string[] {
    return [...(this.keysOfLease.get(lease) ?? [])];
  }

  /** Returns all changes of keys with the prefix after a revision, unless some of them were dropped. */
  changesAfter(prefix: string, after: number): WatchOutcome {
    if (after < this.newestUnreadableRevision()) return 'too-old';
    const events: WatchEvent[] = [];
    for (let index = this.firstLogIndexAfter(after); index < this.changeLog.length; index++) {
      if (this.changeLog[index].key.startsWith(prefix)) events.push(this.changeLog[index]);
    }
    return { revision: this.currentRevision, events };
  }

  private put(key: string, value: unknown, lease: number | null): void {
    const known = this.entries.get(key);
    if (known) this.detach(known);
    else this.order.add(key);
    this.entries.set(key, { key, value, version: this.currentRevision, lease });
    if (lease !== null) this.attach(key, lease);
    this.changeLog.push({ key, value, version: this.currentRevision });
  }

  private remove(key: string): void {
    const known = this.entries.get(key);
    if (!known) return;
    this.detach(known);
    this.order.remove(key);
    this.entries.delete(key);
    this.changeLog.push({ key, version: this.currentRevision });
  }

  private attach(key: string, lease: number): void {
    const keys = this.keysOfLease.get(lease) ?? new Set();
    this.keysOfLease.set(lease, keys.add(key));
  }

  private detach({ key, lease }: StoredEntry): void {
    if (lease === null) return;
    const keys = this.keysOfLease.get(lease);
    keys?.delete(key);
    if (keys?.size === 0) this.keysOfLease.delete(lease);
  }

  /** Revision of the newest change that watches can no longer read. */
  private newestUnreadableRevision(): number {
    const index = this.changeLog.length - RETAINED_CHANGES - 1;
    return index < 0 ? this.trimmedRevision : this.changeLog[index].version;
  }

  /** Drops old changes, many at a time because each trim copies the remaining ones. */
  private trimLog(): void {
    if (this.changeLog.length < RETAINED_CHANGES * 1.5) return;
    this.trimmedRevision = this.newestUnreadableRevision();
    this.changeLog = this.changeLog.slice(-RETAINED_CHANGES);
  }

  private firstLogIndexAfter(revision: number): number {
    return lowerBound(this.changeLog.length, (index) => this.changeLog[index].version <= revision);
  }
}
