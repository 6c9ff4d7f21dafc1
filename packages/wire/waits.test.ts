import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '#testing';
import { every, WakeableWait } from './waits.js';

test('a wait ends after its delay, on wake or when its signal aborts, and leaves no timer', async () => {
  const clock = new ManualClock();
  const wakeable = new WakeableWait(clock);
  const abortController = new AbortController();
  wakeable.wake();
  const byTime = wakeable.wait(10, abortController.signal);
  clock.advance(10);
  await byTime;
  const byWake = wakeable.wait(10, abortController.signal);
  wakeable.wake();
  await byWake;
  const bySignal = wakeable.wait(10, abortController.signal);
  abortController.abort();
  await bySignal;
  await wakeable.wait(10, abortController.signal);
  let ticks = 0;
  const timer = every(clock, 10, () => {
    if (++ticks === 3) timer.cancel();
  });
  clock.advance(100);
  assert.equal(ticks, 3);
  assert.equal(clock.timers, 0);
});
