/** The client of the state service, a consensus-backed key-value store, and the codec of its messages. */
import { type Answer, AnswerTooLarge, CborClient } from './cbor-client.js';
import { HttpStatus } from './http-status.js';
import type { Runtime } from './runtime.js';

/** A key of the state service with its value. */
export interface Entry {
  key: string;
  value: unknown;
  /** Revision of the store at the key's last change. */
  version: number;
}

/** A condition of a compare-and-swap transaction: the key must have this version. */
export interface Condition {
  key: string;
  /** 0 means that the key must not exist. */
  version: number;
}

/** Writes or deletes a key. A write attaches the key to `lease`, if given, and detaches it from any other. */
export type Change = { put: string; value: unknown; lease?: number } | { delete: string };

/** The result of a transaction: applied, or not applied since conditions failed or the lease of a change expired. */
export type TxnOutcome =
  | { ok: true; revision: number }
  | { ok: false; failed: string[]; revision: number }
  | { ok: false; leaseGone: true };

/** One change that a watch returns. */
export interface WatchEvent {
  key: string;
  /** Undefined if the key was deleted. */
  value?: unknown;
  version: number;
}

/**
 * All changes up to a revision, or `too-old` if the keys must be read again, since the service has discarded some changes
 * or they are too many for one answer.
 */
export type WatchOutcome = { revision: number; events: WatchEvent[] } | 'too-old';

/** The state service did not execute the request (429 or 503). */
export class StateRefused extends Error {
  override readonly name = 'StateRefused';

  constructor(readonly status: number) {
    super(`state service answered ${status}`);
  }
}

/** The state service rejected a transaction as malformed and applied nothing; a retry would have the same result. */
export class TxnMalformed extends Error {
  override readonly name = 'TxnMalformed';

  constructor(readonly reason: string) {
    super(`state service calls a transaction malformed: ${reason}`);
  }
}

interface RawEntry {
  k: string;
  value: unknown;
  stamp: number;
}

interface RawTxnAnswer {
  epoch: number;
  failed?: string[];
}

interface RawEvent {
  set?: string;
  remove?: string;
  value?: unknown;
  stamp: number;
}

/** Number of keys on one page of a list. */
const PAGE_SIZE = 1000;

/** Options of one call. */
interface StateCallOptions {
  body?: unknown;
  timeoutMs?: number;
  maxBytes?: number;
  signal: AbortSignal | undefined;
  /** Status codes other than 200 that are a result of the call and not a refusal. */
  expected?: readonly number[];
}

/** Options of `StateApi.changes`. */
export interface ChangesOptions {
  signal?: AbortSignal;
  /** Unlimited by default. */
  maxBytes?: number;
}

/**
 * A client with one method per call of the state service's API; the package `store` adds rate budgets and retries.
 * Calls reject with NoAnswer or StateRefused.
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
    const answer = await this.call('GET', `/store/${key}`, {
      signal,
      expected: [HttpStatus.notFound],
    });
    if (answer.status === HttpStatus.notFound) return null;
    return readEntry(answer.body as RawEntry);
  }

  /** Reads the page of keys with a prefix that follows the key `after`, or the first page if `after` is null. */
  async list(
    prefix: string,
    after: string | null,
    signal?: AbortSignal,
  ): Promise<{ entries: Entry[]; more: boolean; revision: number }> {
    const from = after === null ? '' : `&after=${after}`;
    const path = `/store?prefix=${prefix}${from}&most=${PAGE_SIZE}`;
    const answer = await this.call('GET', path, { signal });
    const raw = answer.body as { entries: RawEntry[]; more: boolean; epoch: number };
    return {
      entries: raw.entries.map(readEntry),
      more: raw.more,
      revision: raw.epoch,
    };
  }

  /** Applies all changes if all conditions hold; also rejects with TxnMalformed, after which a retry cannot succeed. */
  async txn(conditions: Condition[], changes: Change[], signal?: AbortSignal): Promise<TxnOutcome> {
    const body = {
      if: conditions.map(({ key, version }) => ({ k: key, stamp: version })),
      apply: changes.map(changeToWire),
    };
    const answer = await this.call('POST', '/multi', {
      body,
      signal,
      expected: [HttpStatus.badRequest, HttpStatus.conflict],
    });
    const raw = answer.body as RawTxnAnswer;
    if (answer.status === HttpStatus.ok) return { ok: true, revision: raw.epoch };
    if (answer.status === HttpStatus.conflict)
      return { ok: false, failed: raw.failed ?? [], revision: raw.epoch };
    const error = (answer.body as { error?: string } | null)?.error;
    if (error === 'no such lease') return { ok: false, leaseGone: true };
    throw new TxnMalformed(error ?? '');
  }

  /** Creates a lease with a time to live in milliseconds; resolves with the lease's id. */
  async grantLease(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const answer = await this.call('POST', '/grants', { body: { ttlMs }, signal });
    return (answer.body as { permit: number }).permit;
  }

  /** Renews a lease; false if it has expired or was revoked. */
  async renewLease(leaseId: number, signal?: AbortSignal): Promise<boolean> {
    const path = `/grants/${leaseId}/touch`;
    const answer = await this.call('POST', path, { signal, expected: [HttpStatus.notFound] });
    return answer.status === HttpStatus.ok;
  }

  /** Revokes a lease at once and deletes the keys that are attached to it. */
  async revokeLease(leaseId: number, signal?: AbortSignal): Promise<void> {
    await this.call('DELETE', `/grants/${leaseId}`, { signal, expected: [HttpStatus.notFound] });
  }

  /**
   * Resolves with the changes to keys with the prefix after a revision; waits up to `waitMs` for the first change. The
   * service does not limit the answer; the outcome is `too-old` if it has more than `maxBytes`.
   */
  async changes(
    prefix: string,
    after: number,
    waitMs: number,
    { signal, maxBytes }: ChangesOptions = {},
  ): Promise<WatchOutcome> {
    const path = `/changes?prefix=${prefix}&after=${after}&blockMs=${waitMs}`;
    const answer = await this.call('GET', path, {
      timeoutMs: waitMs + this.timeoutMs,
      maxBytes,
      signal,
      expected: [HttpStatus.gone],
    }).catch(nullIfTooLarge);
    if (answer === null || answer.status === HttpStatus.gone) return 'too-old';
    const raw = answer.body as { epoch: number; events: RawEvent[] };
    return { revision: raw.epoch, events: raw.events.map(readEvent) };
  }

  /** Closes the client: calls in flight and all later calls reject with NoAnswer. */
  close(): void {
    this.http.close();
  }

  /** Resolves with an answer of status 200 or an expected status; rejects with NoAnswer or StateRefused. */
  private async call(method: string, path: string, call: StateCallOptions): Promise<Answer> {
    const { body, timeoutMs = this.timeoutMs, maxBytes, signal, expected = [] } = call;
    const answer = await this.http.call(method, path, { timeoutMs, maxBytes, signal, body });
    if (answer.status !== HttpStatus.ok && !expected.includes(answer.status)) {
      throw new StateRefused(answer.status);
    }
    return answer;
  }
}

function nullIfTooLarge(error: unknown): null {
  if (error instanceof AnswerTooLarge) return null;
  throw error;
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
