/** Functions that read single fields of a decoded body; each throws MalformedBody with the field's name. */
import { MalformedBody } from '../cbor.js';

/** A decoded map whose fields are not checked yet. */
export type Fields = Record<string, unknown>;

/** Checks that a value is a map; `name` is its name in the error. */
export function asFields(value: unknown, name = 'body'): Fields {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw new MalformedBody(`${name} is not a map`);
  }
  return value as Fields;
}

/** Reads a list; a missing list is read as empty if it is optional. */
export function listField(fields: Fields, name: string, optional = false): unknown[] {
  const value = fields[name] ?? (optional ? [] : undefined);
  if (!Array.isArray(value)) throw new MalformedBody(`${name} is not a list`);
  return value;
}

/** Reads a required string. */
export function textField(fields: Fields, name: string): string {
  const value = fields[name];
  if (typeof value !== 'string') throw new MalformedBody(`${name} is not a string`);
  return value;
}

/** Reads a required boolean. */
export function booleanField(fields: Fields, name: string): boolean {
  const value = fields[name];
  if (typeof value !== 'boolean') throw new MalformedBody(`${name} is not a boolean`);
  return value;
}

/** Reads a required integer from `min` to `max`. */
export function integerField(fields: Fields, name: string, min: number, max: number): number {
  return checkedInteger(fields[name], name, min, max);
}

/** Reads an integer from the query string; a missing one is read as `ifMissing`, if given, and else is invalid. */
export function integerQuery(
  query: URLSearchParams,
  name: string,
  bounds: { min: number; max: number; ifMissing?: number },
): number {
  const text = query.get(name);
  if (text === null && bounds.ifMissing !== undefined) return bounds.ifMissing;
  const value = text === null || text === '' ? NaN : Number(text);
  return checkedInteger(value, name, bounds.min, bounds.max);
}

function checkedInteger(value: unknown, name: string, min: number, max: number): number {
  if (typeof value !== 'number' || !Number.isInteger(value) || value < min || value > max) {
    throw new MalformedBody(`${name} is not an integer from ${min} to ${max}`);
  }
  return value;
}
