import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEAP_GROWTH } from '#controller';
import { nodeOptions } from './service-file.js';

/** No deployment has as much memory, in MB. */
const LARGEST_HEAP_MB = 16_384;

test('the run line lets the heap grow as the limit of the memory for jobs assumes, and no further limit ends it', () => {
  const options = new Map(nodeOptions().map((option) => option.split('=') as [string, string]));
  const percent = Number(options.get('--heap-growing-percent'));
  assert.equal(1 + percent / 100, HEAP_GROWTH);
  assert.ok(Number(options.get('--max-old-space-size')) >= LARGEST_HEAP_MB);
});
