/** The server side of the state service's API: decodes requests and encodes answers. */
import { MalformedBody } from '../cbor.js';
import type { Change, Condition, Entry, TxnOutcome, WatchOutcome } from '../state-api.js';
import { asFields, integerField, integerQuery, listField, textField } from './fields.js';
import type { WireReply, WireRequest } from './message.js';

/** A decoded request to the state service. */
export type StateRequest =
  | { op: 'get'; key: string }
  | { op: 'list'; prefix: string; after: string | null; limit: number }
  | { op: 'txn'; conditions: Condition[]; changes: Change[] }
  | { op: 'grant'; ttlMs: number }
  | { op: 'touch'; lease: number }
  | { op: 'drop'; lease: number }
  | { op: 'watch'; prefix: string; after: number; waitMs: number };

const MAX_KEY_BYTES = 200;
const MAX_LISTED = 1000;
const MIN_TTL_MS = 100;
const MAX_TTL_MS = 600_000;
const MAX_WAIT_MS = 60_000;
const STORE_PATH = '/store/';
const LEASE_PATH = /^\/grants\/([0-9]+)(\/touch)?$/;

/** Decodes a request; throws MalformedBody for a request that the state service answers with status 400. */
export function parseStateRequest(request: WireRequest): StateRequest {
  const { method, path, query } = request;
  if (method === 'POST' && path === '/multi') return parseTxn(request.body);
  if (method === 'POST' && path === '/grants') return parseGrant(request.body);
  if (method === 'GET' && path === '/changes') return parseWatch(query);
  if (method === 'GET' && path === '/store') return parseList(query);
  if (method === 'GET' && path.startsWith(STORE_PATH)) {
    return { op: 'get', key: checkedKey(path.slice(STORE_PATH.length)) };
  }
  const lease = LEASE_PATH.exec(path);
  if (lease && method === 'POST' && lease[2]) return { op: 'touch', lease: Number(lease[1]) };
  if (lease && method === 'DELETE' && !lease[2]) return { op: 'drop', lease: Number(lease[1]) };
  throw new MalformedBody(`${method} ${path} is not part of the state service's API`);
}

function parseTxn(body: unknown): StateRequest {
  const fields = asFields(body);
  return {
    op: 'txn',
    conditions: listField(fields, 'if', true).map(parseCondition),
    changes: listField(fields, 'apply', true).map(parseChange),
  };
}

function parseCondition(raw: unknown): Condition {
  const fields = asFields(raw, 'condition');
  return {
    key: checkedKey(textField(fields, 'k')),
    version: integerField(fields, 'stamp', 0, Number.MAX_SAFE_INTEGER),
  };
}

function parseChange(raw: unknown): Change {
  const fields = asFields(raw, 'change');
  if (fields.remove !== undefined) {
    if (fields.set !== undefined) throw new MalformedBody('a change both sets and removes');
    return { delete: checkedKey(textField(fields, 'remove')) };
  }
  if (fields.value === undefined) throw new MalformedBody('a set has no value');
  const put = checkedKey(textField(fields, 'set'));
  if (fields.permit === undefined || fields.permit === null) return { put, value: fields.value };
  const lease = integerField(fields, 'permit', 0, Number.MAX_SAFE_INTEGER);
  return { put, value: fields.value, lease };
}

function parseGrant(body: unknown): StateRequest {
  return { op: 'grant', ttlMs: integerField(asFields(body), 'ttlMs', MIN_TTL_MS, MAX_TTL_MS) };
}

function parseWatch(query: URLSearchParams): StateRequest {
  return {
    op: 'watch',
    prefix: query.get('prefix') ?? '',
    after: integerQuery(query, 'after', { min: 0, max: Number.MAX_SAFE_INTEGER }),
    waitMs: integerQuery(query, 'blockMs', { min: 0, max: MAX_WAIT_MS, ifMissing: 0 }),
  };
}

function parseList(query: URLSearchParams): StateRequest {
  return {
    op: 'list',
    prefix: query.get('prefix') ?? '',
    after: query.get('after'),
    limit: integerQuery(query, 'most', { min: 1, max: MAX_LISTED, ifMissing: MAX_LISTED }),
  };
}

function checkedKey(key: string): string {
  const bytes = Buffer.byteLength(key);
  if (bytes < 1 || bytes > MAX_KEY_BYTES || key.includes(' ')) {
    throw new MalformedBody('a key has 1 to 200 bytes and no spaces');
  }
  return key;
}

/** Answers with one key and its value. */
export function entryReply(entry: Entry & { lease: number | null }): WireReply {
  return { status: 200, body: { ...entryToWire(entry), permit: entry.lease } };
}

/** Answers that the key does not exist at a revision. */
export function noEntryReply(revision: number): WireReply {
  return { status: 404, body: { epoch: revision } };
}

/** Answers with one page of keys. */
export function listReply(entries: Entry[], more: boolean, revision: number): WireReply {
  return { status: 200, body: { entries: entries.map(entryToWire), more, epoch: revision } };
}

/** Encodes an entry as in a list. */
export function entryToWire(entry: Entry): Record<string, unknown> {
  return { k: entry.key, value: entry.value, stamp: entry.version };
}

/** Answers with the result of a transaction. */
export function txnReply(outcome: TxnOutcome): WireReply {
  if (outcome.ok) return { status: 200, body: { epoch: outcome.revision } };
  if ('leaseGone' in outcome) return { status: 400, body: { error: 'no such lease' } };
  return { status: 409, body: { failed: outcome.failed, epoch: outcome.revision } };
}

/** Answers with the id of a new lease. */
export function grantReply(lease: number): WireReply {
  return { status: 200, body: { permit: lease } };
}

/** Answers a request to renew or to revoke a lease. */
export function leaseReply(found: boolean): WireReply {
  return found ? { status: 200, body: {} } : { status: 404, body: { error: 'no such lease' } };
}

/** Answers with the changes up to a revision, or with status 410 if some of them were discarded. */
export function watchReply(outcome: WatchOutcome): WireReply {
  if (outcome === 'too-old') return { status: 410, body: { error: 'too old' } };
  const events = outcome.events.map((event) =>
    event.value === undefined
      ? { remove: event.key, stamp: event.version }
      : { set: event.key, value: event.value, stamp: event.version },
  );
  return { status: 200, body: { epoch: outcome.revision, events } };
}
