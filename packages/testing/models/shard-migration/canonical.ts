/** One text for all states of the model that are alike. */
import type { ModelState } from './state.js';

/** Names of fields that hold revisions; numbers of fields in neither set stay as they are. */
const REVISIONS = new Set([
  'revision',
  'version',
  'fromTerm',
  'term',
  'preparedVersion',
  'migrationVersion',
]);
/** Names of fields that hold ids of leases; `grant` and `lease` are those of stored records and changes. */
const LEASE_IDS = new Set(['leaseId', 'grant', 'lease', 'nextLeaseId', 'liveLeases']);

/**
 * A text that is the same for states that differ in nothing that matters: of revisions and lease ids only the order
 * does, not the numbers.
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

/** 0 stands for none and stays. */
function ranks(numbers: number[]): Map<number, number> {
  const sorted = [...new Set(numbers)].sort((one, other) => one - other);
  return new Map(sorted.map((number, rank) => [number, rank]));
}

/** Visits plain data in the order of its fields: each number with the name of its field, and all else as text. */
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
