import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '#testing';
import { Pacer } from './pacer.js';

/** A pacer whose runs take `work.lengthMs`, ask for `work.more` immediate repeats, and throw if `work.fails`. */
function makePacedWork() {
  const clock = new ManualClock();
  const work = { lengthMs: 0, more: 0, fails: false };
  const runs: number[] = [];
  const errors: unknown[] = [];
  const pacer = new Pacer({
    clock,
    periodMs: 100,
    minRestMs: 20,
    restRatio: 3,
    run: () => {
      runs.push(Math.round(clock.wallMs()));
      clock.advanceWithoutTimers(work.lengthMs);
      if (work.fails) throw new Error('fault');
      return work.more-- > 0;
    },
    onError: (err) => errors.push(err),
  });
  return { clock, work, runs, errors, pacer };
}

test('a requested run starts immediately, rests for a multiple of its duration, and survives errors', () => {
  const { clock, work, runs, errors, pacer } = makePacedWork();
  pacer.request();
  assert.deepEqual(runs.splice(0), []);
  pacer.start();
  pacer.request();
  pacer.request();
  pacer.request();
  assert.deepEqual(runs.splice(0), [0]);
  // Requests during a rest cause a single run at its end. Without a request, the next run comes with the period.
  clock.advance(99);
  assert.deepEqual(runs.splice(0), [20]);
  clock.advance(1);
  assert.deepEqual(runs.splice(0), [100]);
  // After a long run the rest is three times its duration, even across periods. A run with more to do skips the rest.
  work.lengthMs = 50;
  work.more = 1;
  clock.advance(100);
  assert.deepEqual(runs.splice(0), [200, 250]);
  clock.advance(249);
  assert.deepEqual(runs.splice(0), [450]);
  work.lengthMs = 0;
  work.fails = true;
  clock.advance(201);
  assert.equal(errors.length, runs.length);
  assert.ok(runs.splice(0).length >= 2);
  pacer.stop();
  pacer.request();
  clock.advance(1000);
  assert.deepEqual(runs, []);
  assert.equal(clock.timers, 0);
});
