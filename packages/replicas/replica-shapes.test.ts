import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aJob, STD } from '#testing';
import { shapeOf, whyNeverWhole } from './replica-shapes.js';

const CLASSES = {
  fixed: { members: 3, sameZone: true },
  whole: { members: 'job' as const, sameZone: false },
};

function aService(own: object) {
  return aJob({ kind: 'service', ...own });
}

test('only services of the classes have replicas of several members', () => {
  assert.deepEqual(shapeOf(aService({ class: 'fixed', tasks: 6 }), CLASSES), {
    members: 3,
    sameZone: true,
  });
  assert.deepEqual(shapeOf(aService({ class: 'whole', tasks: 4 }), CLASSES)?.members, 4);
  assert.equal(shapeOf(aService({ class: 'whole', tasks: 1 }), CLASSES), null);
  assert.equal(shapeOf(aService({ class: 'other', tasks: 6 }), CLASSES), null);
  assert.equal(shapeOf(aService({ class: 'toString', tasks: 6 }), CLASSES), null);
  assert.equal(shapeOf(aJob({ kind: 'gang', class: 'fixed', tasks: 6 }), CLASSES), null);
});

test('replicas that can never be whole are refused with field and reason', () => {
  const shape = { members: 3, sameZone: false };
  assert.equal(whyNeverWhole(aService({ tasks: 6 }), shape, [STD]), null);
  assert.match(whyNeverWhole(aService({ tasks: 5 }), shape, [STD])!, /^pieces: 5 tasks/);
  const spread = aService({ tasks: 3, spread: true });
  assert.equal(whyNeverWhole(spread, shape, [STD]), null, 'two of three in one zone');
  assert.match(whyNeverWhole(spread, { ...shape, sameZone: true }, [STD])!, /^apart: the one zone/);
  const bound = aService({ tasks: 3, spread: true, zone: 'a' });
  assert.match(whyNeverWhole(bound, shape, [STD])!, /^apart: 1 zones/);
});
