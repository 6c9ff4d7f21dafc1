import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HandClock } from '#testing';
import { every, WakeableWait } from './waits.js';

test('waits end by time, by a wake or by their signal, and leave no timer', async () => {
  const clock = new HandClock();
  const pause = new WakeableWait(clock);
  const stop = new AbortController();
  pause.wake();
  const byTime = pause.wait(10, stop.signal);
  clock.advance(10);
  await byTime;
  const byWake = pause.wait(10, stop.signal);
  pause.wake();
  await byWake;
  const bySignal = pause.wait(10, stop.signal);
  stop.abort();
  await bySignal;
  await pause.wait(10, stop.signal);
  let ticks = 0;
  const timer = every(clock, 10, () => {
    if (++ticks === 3) timer.cancel();
  });
  clock.advance(100);
  assert.equal(ticks, 3);
  assert.equal(clock.timers, 0);
});
