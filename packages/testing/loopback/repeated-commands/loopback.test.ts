import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  attemptsBegunAgain,
  copiesAfterCancellation,
  copiesAfterEnd,
} from '../../fault-combinations/repeated-starts.js';
import { describeViolation } from '../../stand-ins/index.js';
import { readOptions } from '../sizing/options.js';
import { runRepeatedCommands } from './loopback-run.js';

const SIZING = readOptions(
  '--machines 8 --controllers 3 --report-s 1 --lease-s 6 --settle-s 0'.split(' '),
);
const RUN_S = 25;

for (const leaderCrashes of [false, true]) {
  const when = leaderCrashes ? ', also if the leader is back within a second' : '';
  test(`with real controllers, no task begins again when an answered command arrives once more${when}`, async () => {
    const options = { sizing: SIZING, seconds: RUN_S, leaderCrashes };
    const { violations, events } = await runRepeatedCommands(options);
    assert.deepEqual(violations.map(describeViolation), []);
    assert.deepEqual(attemptsBegunAgain(events), []);
    assert.ok(copiesAfterEnd(events).length >= 30, 'too few copies of ended attempts');
    assert.ok(copiesAfterCancellation(events).length >= 5, 'too few copies of cancelled tasks');
  });
}
