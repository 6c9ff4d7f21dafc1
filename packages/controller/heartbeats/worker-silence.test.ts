import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FleetState } from '#core';
import { WorkerSilence } from './worker-silence.js';

const REPORT_S = 1;
const LOOK_S = 0.5;

/** A fleet whose machines have all been answered at that time. */
function fleetOf(machines: number, answeredAt: number, termConfirmed = true): FleetState {
  const machine = { state: 'up', termConfirmed, answeredAt };
  const byName = new Map(Array.from({ length: machines }, (_, i) => [`n-${i}`, machine]));
  return { machines: byName } as unknown as FleetState;
}

/** Looks at a fleet from 0 s to the end; true if it counted as silent at the last look. */
function lookUntil(
  endS: number,
  fleetAt: (now: number) => FleetState,
  sampleIntervalS = LOOK_S,
): boolean {
  const silence = new WorkerSilence({ heartbeatIntervalS: REPORT_S, sampleIntervalS: LOOK_S });
  let silent = false;
  for (let now = 0; now <= endS; now += sampleIntervalS) silent = silence.sample(fleetAt(now), now);
  return silent;
}

test('workers that all fall silent are noticed after two report periods', () => {
  const answeredUntil5 = (now: number) => fleetOf(8, Math.min(now, 5));
  assert.equal(lookUntil(6.5, answeredUntil5), false);
  assert.equal(lookUntil(7.5, answeredUntil5), true);
});

test('nothing is said of workers that report, are few, never came in this term, or were not looked at', () => {
  const silent = () => fleetOf(8, 0);
  assert.equal(
    lookUntil(20, (now) => fleetOf(8, now)),
    false,
  );
  assert.equal(
    lookUntil(20, () => fleetOf(1, 0)),
    false,
  );
  assert.equal(
    lookUntil(20, () => fleetOf(8, 0, false)),
    false,
  );
  assert.equal(lookUntil(20, silent, 3 * LOOK_S), false, 'the process stands still between looks');
  assert.equal(lookUntil(20, silent), true);
});
