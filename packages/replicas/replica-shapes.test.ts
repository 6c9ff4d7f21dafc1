import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeJob, STANDARD_TYPE } from '#testing';
import { replicaShapeOf, unplaceableReason } from './replica-shapes.js';

const CLASSES = {
  fixed: { members: 3, sameZone: true },
  whole: { members: 'job' as const, sameZone: false },
};

function makeService(own: object) {
  return makeJob({ kind: 'service', ...own });
}

test('only services of configured classes have replicas of several members', () => {
  assert.deepEqual(replicaShapeOf(makeService({ class: 'fixed', tasks: 6 }), CLASSES), {
    members: 3,
    sameZone: true,
  });
  assert.deepEqual(replicaShapeOf(makeService({ class: 'whole', tasks: 4 }), CLASSES)?.members, 4);
  assert.equal(replicaShapeOf(makeService({ class: 'whole', tasks: 1 }), CLASSES), null);
  assert.equal(replicaShapeOf(makeService({ class: 'other', tasks: 6 }), CLASSES), null);
  assert.equal(replicaShapeOf(makeService({ class: 'toString', tasks: 6 }), CLASSES), null);
  assert.equal(replicaShapeOf(makeJob({ kind: 'gang', class: 'fixed', tasks: 6 }), CLASSES), null);
});

test('replicas that can never be placed are refused with field and reason', () => {
  const shape = { members: 3, sameZone: false };
  assert.equal(unplaceableReason(makeService({ tasks: 6 }), shape, [STANDARD_TYPE]), null);
  assert.match(
    unplaceableReason(makeService({ tasks: 5 }), shape, [STANDARD_TYPE])!,
    /^pieces: 5 tasks/,
  );
  const spread = makeService({ tasks: 3, spread: true });
  assert.equal(
    unplaceableReason(spread, shape, [STANDARD_TYPE]),
    null,
    'two of three members fit per zone',
  );
  assert.match(
    unplaceableReason(spread, { ...shape, sameZone: true }, [STANDARD_TYPE])!,
    /^apart: the one zone/,
  );
  const bound = makeService({ tasks: 3, spread: true, zone: 'a' });
  assert.match(unplaceableReason(bound, shape, [STANDARD_TYPE])!, /^apart: 1 zones/);
});
