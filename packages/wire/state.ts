import { type Answer, CborClient } from './http.js';
import type { Runtime } from './runtime.js';

/** A key of the store with its value. */
export interface Entry {
  key: string;
  value: unknown;
  /** Revision of the key's last change. */
  version: number;
}

/** What a transaction depends on. */
export interface Condition {
  key: string;
  /** 0: the key does not exist. */
  version: number;
}

/** A key that is written, detached from any lease but the one given, or removed. */
export type Change = { put: string; value: unknown; lease?: number } | { delete: string };

/** Done; or nothing was done, since conditions failed or the lease of a change has ended. */
export type TxnOutcome =
  | { ok: true; revision: number }
  | { ok: false; failed: string[]; revision: number }
  | { ok: false; leaseGone: true };

/** One change that a watch shows. */
export interface WatchEvent {
  key: string;
  /** undefined: the key was removed. */
  value?: unknown;
  version: number;
}

/** All changes up to a revision; `too-old`: the keys must be read anew. */
export type WatchOutcome = { revision: number; events: WatchEvent[] } | 'too-old';

/** The state service did not execute the request (429 or 503). */
export class StateRefused extends Error {
  constructor(readonly status: number) {
    super(`state service answered ${status}`);
  }
}

/** The state service calls a transaction malformed: nothing was done, and a repetition would fare the same. */
export class TxnMalformed extends Error {
  constructor(reason: string) {
    super(`state service calls a transaction malformed: ${reason}`);
  }
}

interface RawEntry {
  k: string;
  value: unknown;
  stamp: number;
}

interface RawEvent {
  set?: string;
  remove?: string;
  value?: unknown;
  stamp: number;
}

const LIST_PAGE = 1000;

interface Call {
  body?: unknown;
  timeoutMs?: number;
  signal: AbortSignal | undefined;
  /** Statuses besides 200 that are an answer and no refusal. */
  expected?: number[];
}

/**
 * The state service's interface, call by call; budgets and retries are the store package's. Calls reject
 * with NoAnswer or StateRefused.
 */
export class StateApi {
  private readonly http: CborClient;

  constructor(
    runtime: Runtime,
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.http = new CborClient(runtime, address);
  }

  /** Reads one key; null if it does not exist. */
  async get(key: string, signal?: AbortSignal): Promise<Entry | null> {
    const res = await this.call('GET', `/store/${key}`, { signal, expected: [404] });
    if (res.status === 404) return null;
    return readEntry(res.body as RawEntry);
  }

  /** Reads a page of the keys with a prefix, after a key if one is given. */
  async list(
    prefix: string,
    after: string | null,
    signal?: AbortSignal,
  ): Promise<{ entries: Entry[]; more: boolean; revision: number }> {
    const from = after === null ? '' : `&after=${after}`;
    const path = `/store?prefix=${prefix}${from}&most=${LIST_PAGE}`;
    const res = await this.call('GET', path, { signal });
    const raw = res.body as { entries: RawEntry[]; more: boolean; epoch: number };
    return {
      entries: raw.entries.map(readEntry),
      more: raw.more,
      revision: raw.epoch,
    };
  }

  /** Applies all changes if all conditions hold; throws TxnMalformed if no repetition can help. */
  async txn(conditions: Condition[], changes: Change[], signal?: AbortSignal): Promise<TxnOutcome> {
    const body = {
      if: conditions.map(({ key, version }) => ({ k: key, stamp: version })),
      apply: changes.map(changeToWire),
    };
    const res = await this.call('POST', '/multi', { body, signal, expected: [400, 409] });
    const raw = res.body as { epoch: number; failed?: string[]; error?: string };
    if (res.status === 200) return { ok: true, revision: raw.epoch };
    if (res.status === 409) return { ok: false, failed: raw.failed ?? [], revision: raw.epoch };
    if (raw?.error === 'no such lease') return { ok: false, leaseGone: true };
    throw new TxnMalformed(raw?.error ?? '');
  }

  /** Creates a lease; resolves with its number. */
  async grantLease(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const res = await this.call('POST', '/grants', { body: { ttlMs }, signal });
    return (res.body as { permit: number }).permit;
  }

  /** False: the grant has ended. */
  async renewLease(leaseId: number, signal?: AbortSignal): Promise<boolean> {
    const path = `/grants/${leaseId}/touch`;
    const res = await this.call('POST', path, { signal, expected: [404] });
    return res.status === 200;
  }

  /** Ends a lease at once, with the keys that hang on it. */
  async revokeLease(leaseId: number, signal?: AbortSignal): Promise<void> {
    await this.call('DELETE', `/grants/${leaseId}`, { signal, expected: [404] });
  }

  /** Waits until a key with the prefix has changed after a revision, or until the time runs out. */
  async changes(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<WatchOutcome> {
    const path = `/changes?prefix=${prefix}&after=${after}&blockMs=${waitMs}`;
    const res = await this.call('GET', path, {
      timeoutMs: waitMs + this.timeoutMs,
      signal,
      expected: [410],
    });
    if (res.status === 410) return 'too-old';
    const raw = res.body as {
      epoch: number;
      events: RawEvent[];
    };
    return { revision: raw.epoch, events: raw.events.map(readEvent) };
  }

  close(): void {
    this.http.close();
  }

  /** Resolves with a 200 or an expected status; rejects with NoAnswer or StateRefused. */
  private async call(method: string, path: string, call: Call): Promise<Answer> {
    const { body, timeoutMs = this.timeoutMs, signal, expected = [] } = call;
    const answer = await this.http.call(method, path, { timeoutMs, signal, body });
    if (answer.status !== 200 && !expected.includes(answer.status)) {
      throw new StateRefused(answer.status);
    }
    return answer;
  }
}

function readEntry({ k, value, stamp }: RawEntry): Entry {
  return { key: k, value, version: stamp };
}

function readEvent({ set, remove, value, stamp }: RawEvent): WatchEvent {
  if (set !== undefined) return { key: set, value, version: stamp };
  return { key: remove ?? '', version: stamp };
}

function changeToWire(change: Change): Record<string, unknown> {
  if ('delete' in change) return { remove: change.delete };
  return { set: change.put, value: change.value, permit: change.lease };
}
