import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { operatorSchema, withDefaults } from './operator-settings.js';
import type { PlatformSettings } from './platform-settings.js';

test('the schema in the documentation equals the schema that the code uses', () => {
  // Written by `node target/cli/launch.cjs schema > docs/operator.schema.json`.
  const file = new URL('../../../docs/operator.schema.json', import.meta.url);
  assert.deepEqual(JSON.parse(readFileSync(file, 'utf8')), operatorSchema);
});

test('settings that the operators do not set have defaults, some derived from the platform settings', () => {
  const workers = { lease_s: 10, report_s: 2 };
  const platform = { deployment: { workers } } as unknown as PlatformSettings;
  const settings = withDefaults({ ownerTtlS: 4 }, platform);
  assert.equal(settings.electionLeaseTtlS, 4);
  assert.equal(settings.preemptAfterS, 4);
  assert.equal(settings.gangLeaseS, 120);
  assert.equal(settings.reserveSigmas, 2);
});

test('planned migrations are disabled without the section moves, and have defaults with it', () => {
  const workers = { lease_s: 10, report_s: 2 };
  const platform = { deployment: { workers } } as unknown as PlatformSettings;
  assert.equal(withDefaults({}, platform).moves, null);
  assert.deepEqual(withDefaults({ moves: {} }, platform).moves, { prepareS: 16, switchS: 4 });
  assert.equal(withDefaults({ moves: { switchS: 1 } }, platform).moves?.switchS, 1);
});
