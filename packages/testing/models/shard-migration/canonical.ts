import type { ModelState } from './state.js';

/** Names of fields that hold revisions, or leases, in stored records too; other numbers stay as they are. */
const REVISIONS = new Set([
  'revision',
  'version',
  'fromTerm',
  'term',
  'preparedVersion',
  'moveVersion',
]);
const LEASES = new Set(['grant', 'lease', 'leaseId', 'nextLeaseId', 'liveLeases']);

/**
 * A text that is the same for states that differ in nothing that matters: of revisions and leases only the order
 * does, not the numbers.
 */
export function canonicalKey(state: ModelState): string {
  const revisions: number[] = [0];
  const leases: number[] = [0];
  const collect = (name: string, value: number) => {
    if (REVISIONS.has(name)) revisions.push(value);
    else if (LEASES.has(name)) leases.push(value);
  };
  walk(state, '', collect, () => {});
  const revisionRanks = ranks(revisions);
  const leaseRanks = ranks(leases);
  let text = '';
  const write = (name: string, value: number) => {
    if (REVISIONS.has(name)) text += revisionRanks.get(value);
    else if (LEASES.has(name)) text += leaseRanks.get(value);
    else text += value;
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
