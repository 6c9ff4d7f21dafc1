import { CborClient } from './http.js';
import type { Runtime } from './runtime.js';

export interface Entry {
  key: string;
  value: unknown;
  version: number;
}

export interface Condition {
  key: string;
  version: number;
}

export type Change = { put: string; value: unknown; lease?: number } | { delete: string };

export type TxnOutcome =
  | { ok: true; revision: number }
  | { ok: false; failed: string[]; revision: number }
  | { ok: false; leaseGone: true };

export interface WatchEvent {
  key: string;
  /** undefined: the key was removed. */
  value?: unknown;
  version: number;
}

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

const LIST_PAGE = 1000;

/** The state service's interface, call by call; budgets and retries are the store package's. */
export class StateApi {
  private readonly http: CborClient;

  constructor(
    runtime: Runtime,
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.http = new CborClient(runtime, address);
  }

  async get(key: string, signal?: AbortSignal): Promise<Entry | null> {
    const res = await this.call('GET', `/store/${key}`, undefined, this.timeoutMs, signal, [404]);
    if (res.status === 404) return null;
    const raw = res.body as RawEntry;
    return { key: raw.k, value: raw.value, version: raw.stamp };
  }

  async list(
    prefix: string,
    after: string | null,
    signal?: AbortSignal,
  ): Promise<{ entries: Entry[]; more: boolean; revision: number }> {
    const from = after === null ? '' : `&after=${after}`;
    const path = `/store?prefix=${prefix}${from}&most=${LIST_PAGE}`;
    const res = await this.call('GET', path, undefined, this.timeoutMs, signal);
    const raw = res.body as { entries: RawEntry[]; more: boolean; epoch: number };
    return {
      entries: raw.entries.map((e) => ({ key: e.k, value: e.value, version: e.stamp })),
      more: raw.more,
      revision: raw.epoch,
    };
  }

  async txn(conditions: Condition[], changes: Change[], signal?: AbortSignal): Promise<TxnOutcome> {
    const body = {
      if: conditions.map((c) => ({ k: c.key, stamp: c.version })),
      apply: changes.map((c) =>
        'put' in c ? { set: c.put, value: c.value, permit: c.lease } : { remove: c.delete },
      ),
    };
    const res = await this.call('POST', '/multi', body, this.timeoutMs, signal, [400, 409]);
    const raw = res.body as { epoch: number; failed?: string[]; error?: string };
    if (res.status === 200) return { ok: true, revision: raw.epoch };
    if (res.status === 409) return { ok: false, failed: raw.failed ?? [], revision: raw.epoch };
    if (raw?.error === 'no such lease') return { ok: false, leaseGone: true };
    throw new TxnMalformed(raw?.error ?? '');
  }

  async grant(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const res = await this.call('POST', '/grants', { ttlMs }, this.timeoutMs, signal);
    return (res.body as { permit: number }).permit;
  }

  /** False: the grant has ended. */
  async touch(grant: number, signal?: AbortSignal): Promise<boolean> {
    const path = `/grants/${grant}/touch`;
    const res = await this.call('POST', path, undefined, this.timeoutMs, signal, [404]);
    return res.status === 200;
  }

  async drop(grant: number, signal?: AbortSignal): Promise<void> {
    await this.call('DELETE', `/grants/${grant}`, undefined, this.timeoutMs, signal, [404]);
  }

  async changes(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<WatchOutcome> {
    const path = `/changes?prefix=${prefix}&after=${after}&blockMs=${waitMs}`;
    const res = await this.call('GET', path, undefined, waitMs + this.timeoutMs, signal, [410]);
    if (res.status === 410) return 'too-old';
    const raw = res.body as {
      epoch: number;
      events: { set?: string; remove?: string; value?: unknown; stamp: number }[];
    };
    return {
      revision: raw.epoch,
      events: raw.events.map((e) =>
        e.set !== undefined
          ? { key: e.set, value: e.value, version: e.stamp }
          : { key: e.remove ?? '', version: e.stamp },
      ),
    };
  }

  close(): void {
    this.http.close();
  }

  private async call(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    signal: AbortSignal | undefined,
    expected: number[] = [],
  ) {
    const res = await this.http.call(method, path, { timeoutMs, signal, body });
    if (res.status !== 200 && !expected.includes(res.status)) throw new StateRefused(res.status);
    return res;
  }
}
