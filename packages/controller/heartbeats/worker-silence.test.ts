import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FleetState } from '#core';
import { WorkerSilence } from './worker-silence.js';

const HEARTBEAT_INTERVAL_S = 1;
const SAMPLE_INTERVAL_S = 0.5;

/** Makes a fleet whose machines were all last answered at `answeredAt`. */
function makeFleet(machines: number, answeredAt: number, termConfirmed = true): FleetState {
  const machine = { state: 'up', termConfirmed, answeredAt };
  const byName = new Map(Array.from({ length: machines }, (_, i) => [`n-${i}`, machine]));
  return { machines: byName } as unknown as FleetState;
}

/** Samples a fleet from 0 s to `endS`; true if the fleet counted as silent at the last sample. */
function sampleUntil(
  endS: number,
  fleetAt: (now: number) => FleetState,
  sampleIntervalS = SAMPLE_INTERVAL_S,
): boolean {
  const silence = new WorkerSilence({
    heartbeatIntervalS: HEARTBEAT_INTERVAL_S,
    sampleIntervalS: SAMPLE_INTERVAL_S,
  });
  let silent = false;
  for (let now = 0; now <= endS; now += sampleIntervalS) silent = silence.sample(fleetAt(now), now);
  return silent;
}

test('workers that all stop sending heartbeats count as silent after two heartbeat intervals', () => {
  const answeredUntil5 = (now: number) => makeFleet(8, Math.min(now, 5));
  assert.equal(sampleUntil(6.5, answeredUntil5), false);
  assert.equal(sampleUntil(7.5, answeredUntil5), true);
});

test('workers that send heartbeats, are few, have not accepted the term, or were sampled too late do not count as silent', () => {
  const silentFleet = () => makeFleet(8, 0);
  assert.equal(
    sampleUntil(20, (now) => makeFleet(8, now)),
    false,
  );
  assert.equal(
    sampleUntil(20, () => makeFleet(1, 0)),
    false,
  );
  assert.equal(
    sampleUntil(20, () => makeFleet(8, 0, false)),
    false,
  );
  assert.equal(
    sampleUntil(20, silentFleet, 3 * SAMPLE_INTERVAL_S),
    false,
    'the process is suspended between samples',
  );
  assert.equal(sampleUntil(20, silentFleet), true);
});
