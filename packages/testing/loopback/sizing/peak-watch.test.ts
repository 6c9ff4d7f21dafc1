import assert from 'node:assert/strict';
import { test } from 'node:test';
import { peakCores } from './peak-watch.js';

/** Samples every 100 ms of a process, given the cores that it uses in each second. */
function samplesOf(coresBySecond: number[]) {
  let processorS = 0;
  const samples = [{ atMs: 0, processorS }];
  for (let tick = 1; tick <= coresBySecond.length * 10; tick++) {
    processorS += coresBySecond[Math.floor((tick - 1) / 10)] / 10;
    samples.push({ atMs: tick * 100, processorS });
  }
  return samples;
}

test('the peak is the use over the busiest second, at whichever sample that second begins', () => {
  assert.ok(Math.abs(peakCores(samplesOf([0.1, 0.5, 0.2])) - 0.5) < 1e-9);
  const halfAndHalf = samplesOf([0, 1, 0]).filter(({ atMs }) => atMs % 1000 === 500);
  assert.ok(Math.abs(peakCores(halfAndHalf) - 0.5) < 1e-9);
});

test('the peak is 0 if the samples cover less than a second', () => {
  assert.equal(peakCores(samplesOf([0.5]).slice(0, 10)), 0);
});
