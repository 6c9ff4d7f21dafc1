/**
 * Converts migration records between their stored form and the names in the code. Other versions that run at the same
 * time and operators' programs read the stored form, so its fields keep their names and order.
 */
import { compileSchema } from '#wire';
import type { MigrationRecord, MigrationResult } from './migration-record.js';

/** A migration under way, as it is stored. */
export interface StoredMigration {
  fromTerm: number;
  to: string;
  reason: string;
  phase: 'requested' | 'prepared' | 'quiesced';
  /** The lease that the target renews; absent while the phase is `requested`. */
  grant?: number;
}

/** How the last migration ended, as it is stored. */
export interface StoredMigrationResult {
  outcome: 'moved' | 'refused' | 'taken-back';
  to: string;
  reason: string;
  why: string;
}

const RECORD_FIELDS = { to: 'target', grant: 'leaseId' };
const RESULT_FIELDS = { to: 'target', why: 'failureReason' };

const MAX_TEXT_LENGTH = 200;
const boundedText = { type: 'string', maxLength: MAX_TEXT_LENGTH };
const nonNegativeInteger = { type: 'integer', minimum: 0 };

const storedSchema = {
  type: 'object',
  required: ['fromTerm', 'to', 'reason', 'phase'],
  properties: {
    fromTerm: nonNegativeInteger,
    to: { ...boundedText, minLength: 1 },
    reason: boundedText,
    phase: { enum: ['requested', 'prepared', 'quiesced'] },
    grant: nonNegativeInteger,
  },
  if: { properties: { phase: { enum: ['prepared', 'quiesced'] } } },
  then: { required: ['grant'] },
};

const isStoredMigration = compileSchema<StoredMigration>('moveRecord', storedSchema);

/** Decodes a record from any writer; null if it is damaged or of a form that this version does not know. */
export function decodeMigration(value: unknown): MigrationRecord | null {
  return isStoredMigration(value) ? (renameFields(value, RECORD_FIELDS) as MigrationRecord) : null;
}

/** The stored form of a migration's record. */
export function encodeMigration(record: MigrationRecord): StoredMigration {
  return renameFields(record, invert(RECORD_FIELDS)) as StoredMigration;
}

/** Decodes the result of a migration without validation, since only this service writes it. */
export function decodeMigrationResult(value: unknown): MigrationResult {
  return renameFields(value as StoredMigrationResult, RESULT_FIELDS) as MigrationResult;
}

/** The stored form of a migration's result. */
export function encodeMigrationResult(result: MigrationResult): StoredMigrationResult {
  return renameFields(result, invert(RESULT_FIELDS)) as StoredMigrationResult;
}

/** Renames the fields in `names` and keeps all others, which a later version may have added. */
function renameFields(record: object, names: Readonly<Record<string, string>>): unknown {
  const fields: [string, unknown][] = Object.entries(record);
  return Object.fromEntries(fields.map(([name, value]) => [names[name] ?? name, value]));
}

function invert(names: Readonly<Record<string, string>>): Record<string, string> {
  return Object.fromEntries(Object.entries(names).map(([from, to]) => [to, from]));
}
