import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { test } from 'node:test';
import { runInThisContext } from 'node:vm';
import type { ValidateFunction } from 'ajv';
import fc from 'fast-check';
import { parse as parseToml } from 'smol-toml';
import { anyJob, anyHeartbeat, PROPERTY_TEST_OPTIONS } from '#testing';
import { compileSchema, jobToWire, heartbeatToWire } from '#wire';
import { namedSchemas } from '../wire/schema.js';
import { schemaChecksCode } from './schema-checks.js';

type Checks = Record<string, ValidateFunction>;
type Json = Record<string, unknown>;

const EXAMPLES = new URL('../../examples/', import.meta.url);

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), 'utf8');
}

const anyMoveRecord: fc.Arbitrary<Json> = fc.record({
  fromTerm: fc.nat(),
  to: fc.constantFrom('c-0', 'c-1'),
  reason: fc.string({ maxLength: 200 }),
  phase: fc.constantFrom('requested', 'prepared', 'quiesced'),
  grant: fc.nat(),
});

/** Generators of valid values by schema name; the test corrupts each value in one place. */
const VALID_VALUES: Record<string, fc.Arbitrary<Json>> = {
  job: anyJob.map(jobToWire),
  heartbeat: anyHeartbeat.map(heartbeatToWire),
  moveRecord: anyMoveRecord,
  platformSettings: fc.constant(parseToml(readExample('settings.toml'))),
  operatorSettings: fc.constant(JSON.parse(readExample('operator.json')) as Json),
};

const anyValue = fc.oneof(
  fc.constantFrom<unknown>(undefined, null, '', 0, -1, 0.5, 1e300, {}, []),
  fc.string(),
  fc.double(),
  fc.boolean(),
);

function evaluateModule(code: string): Checks {
  const module = { exports: {} as Checks };
  const require = createRequire(import.meta.url);
  const wrapped = `(function (module, exports, require) {${code}\n})`;
  const define = runInThisContext(wrapped) as (...args: unknown[]) => void;
  define(module, module.exports, require);
  return module.exports;
}

/** All objects and arrays in a value, including the value itself. */
function containersIn(value: unknown): Json[] {
  if (typeof value !== 'object' || value === null) return [];
  return [value as Json, ...Object.values(value).flatMap(containersIn)];
}

/** Returns a copy with the value at one place replaced by `other`, or removed if `other` is undefined. */
function corrupt(valid: Json, place: number, other: unknown): Json {
  const copy = structuredClone(valid);
  const places = containersIn(copy).flatMap((container) =>
    Object.keys(container).map((key) => ({ container, key })),
  );
  const { container, key } = places[place % places.length];
  if (other === undefined) delete container[key];
  else container[key] = other;
  return copy;
}

function runCheck(check: ValidateFunction, value: Json): unknown {
  const checked = structuredClone(value);
  const isGood = check(checked);
  return { isGood, errors: isGood ? null : check.errors, checked };
}

test('the validators that the build generates give the same errors and defaults as ajv', () => {
  assert.deepEqual([...namedSchemas.keys()].sort(), Object.keys(VALID_VALUES).sort());
  const checks = evaluateModule(schemaChecksCode());
  for (const [name, schema] of [...namedSchemas]) {
    const compiled = compileSchema(name, schema);
    const failedKeywords = new Set<string>();
    fc.assert(
      fc.property(VALID_VALUES[name], fc.nat(), anyValue, (good, place, other) => {
        assert.equal(checks[name](structuredClone(good)), true, name);
        const value = corrupt(good, place, other);
        const expected = runCheck(compiled, value);
        assert.deepEqual(runCheck(checks[name], value), expected);
        for (const { keyword } of compiled.errors ?? []) failedKeywords.add(keyword);
      }),
      PROPERTY_TEST_OPTIONS,
    );
    assert.ok(failedKeywords.size > 1, `${name} fails by several keywords`);
  }
});
