/** Symmetry reduction of the shard migration model. */
import type { ModelState } from './state.js';

/** Names of fields that hold revisions. Numbers in fields of neither set are part of the key as they are. */
const REVISIONS = new Set([
  'revision',
  'version',
  'fromTerm',
  'term',
  'preparedVersion',
  'migrationVersion',
]);
/** Names of fields that hold lease ids. `grant` is a field of stored records, `lease` a field of changes. */
const LEASE_IDS = new Set(['leaseId', 'grant', 'lease', 'nextLeaseId', 'liveLeases']);

/**
 * Returns a key that is the same for equivalent states. Only the order of revisions and of lease ids distinguishes
 * states, not the numbers.
 */
export function canonicalKey(state: ModelState): string {
  const revisions: number[] = [0];
  const leaseIds: number[] = [0];
  const collect = (name: string, value: number) => {
    if (REVISIONS.has(name)) revisions.push(value);
    else if (LEASE_IDS.has(name)) leaseIds.push(value);
  };
  walk(state, '', collect, () => undefined);
  const revisionRanks = ranks(revisions);
  const leaseRanks = ranks(leaseIds);
  let text = '';
  const write = (name: string, value: number) => {
    if (REVISIONS.has(name)) text += String(revisionRanks.get(value));
    else if (LEASE_IDS.has(name)) text += String(leaseRanks.get(value));
    else text += String(value);
    text += ',';
  };
  walk(state, '', write, (shard) => (text += shard));
  return text;
}

/** Maps each number to its rank. 0 means "none"; it is always among the numbers and keeps the rank 0. */
function ranks(numbers: number[]): Map<number, number> {
  const sorted = [...new Set(numbers)].sort((one, other) => one - other);
  return new Map(sorted.map((number, rank) => [number, rank]));
}

/** Visits plain data in field order: calls `onNumber` with each number and its field name, `onText` for all else. */
function walk(
  value: unknown,
  name: string,
  onNumber: (name: string, value: number) => void,
  onText: (text: string) => void,
): void {
  if (typeof value === 'number') onNumber(name, value);
  else if (value === null || typeof value !== 'object') onText(`${String(value)},`);
  else if (Array.isArray(value)) {
    onText('[');
    for (const each of value) walk(each, name, onNumber, onText);
    onText(']');
  } else {
    const fields = value as Record<string, unknown>;
    for (const field in fields) {
      onText(`${field}:`);
      walk(fields[field], field, onNumber, onText);
    }
    onText('}');
  }
}
