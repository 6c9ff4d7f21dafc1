import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { CACHE_FILE, compileProgram, loadProgram } from '../cli/launch.cjs';
import { nodeOptions } from './service-file.js';

const LAUNCH = fileURLToPath(new URL('../cli/launch.cjs', import.meta.url));

test('V8 accepts the code cache of the build under the options with which the platform starts a controller', () => {
  const program = `
    const { CACHE_FILE, compileProgram } = require(${JSON.stringify(LAUNCH)});
    const { cachedDataRejected } = compileProgram(require('node:fs').readFileSync(CACHE_FILE));
    process.stdout.write(String(cachedDataRejected));`;
  const command = [...nodeOptions(), '--eval', program];
  const { stdout, stderr } = spawnSync(process.execPath, command, { encoding: 'utf8' });
  assert.equal(stdout, 'false', stderr);
});

test('the program loads without a usable code cache', () => {
  const validCache = readFileSync(CACHE_FILE);
  const mismatchedCache = Buffer.from(validCache);
  // The first bytes of a code cache hold V8's version and options.
  mismatchedCache.fill(0, 0, 16);
  for (const cache of [undefined, Buffer.alloc(0), validCache.subarray(0, 5000), mismatchedCache]) {
    assert.equal(typeof loadProgram(compileProgram(cache)).main, 'function');
  }
});
