import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CpuAllowance } from './throttle.js';

const CORES = 0.2;
const CHECK_INTERVAL_S = 0.002;

/** Simulates a process that always has work; returns the processor time used since its start, in seconds. */
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

test('a process that was idle for long may not use the time that it left unused', () => {
  const allowance = new CpuAllowance(CORES, 0);
  assert.ok(allowance.allows(100, 0.1));
  const usedS = simulateBusyProcess(1, allowance, 100, 0.1) - 0.1;
  assert.ok(usedS < CORES + 0.05, String(usedS));
});

test('a process that exceeded its share is held until its allowance covers the excess', () => {
  const allowance = new CpuAllowance(CORES, 0);
  assert.equal(allowance.allows(1, 1), false);
  assert.equal(allowance.allows(4, 1), false);
  assert.equal(allowance.allows(6, 1), true);
});
