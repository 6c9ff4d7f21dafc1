import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CpuAllowance } from './throttle.js';

const CORES = 0.2;
const CHECK_INTERVAL_S = 0.002;

/** Plays a process that always has work for so long; what it used, second by second. */
function simulateBusyProcess(
  seconds: number,
  allowance = new CpuAllowance(CORES, 0),
  fromS = 0,
  used = 0,
): number {
  let usedS = used;
  for (let atS = fromS; atS < fromS + seconds; atS += CHECK_INTERVAL_S) {
    if (allowance.allows(atS, usedS)) usedS += CHECK_INTERVAL_S;
  }
  return usedS;
}

test('a process that always has work uses its share', () => {
  assert.ok(Math.abs(simulateBusyProcess(10) / 10 - CORES) < 0.01);
});

test('a process that did nothing for long may not make up for it', () => {
  const allowance = new CpuAllowance(CORES, 0);
  assert.ok(allowance.allows(100, 0.1));
  const usedS = simulateBusyProcess(1, allowance, 100, 0.1) - 0.1;
  assert.ok(usedS < CORES + 0.05, String(usedS));
});

test('what was used beyond the share is waited for', () => {
  const allowance = new CpuAllowance(CORES, 0);
  assert.equal(allowance.allows(1, 1), false);
  assert.equal(allowance.allows(4, 1), false);
  assert.equal(allowance.allows(6, 1), true);
});
