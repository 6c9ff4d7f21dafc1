import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, makeJob, registerMachine } from '../../testing/samples.js';
import { GangReservations } from './gang-reservations.js';

test('a machine whose capacity is held for other work is not reserved for a gang', () => {
  // Guards against a machine that stays empty: capacity freed and held for a replica was reserved for a
  // gang as well, so that the replica could not be placed there and the gang kept waiting for the replica.
  const fleet = makeFleet();
  const [held, free] = [registerMachine(fleet, 'n-1'), registerMachine(fleet, 'n-2')];
  const replica = fleet.addJob(makeJob({ id: 'j-1', kind: 'service', rank: 1 }), 0, 'accepted', 0);
  const gang = fleet.addJob(makeJob({ id: 'j-2', kind: 'gang', gpus: 4 }), 0, 'accepted', 0);
  const reservations = new GangReservations(fleet);
  fleet.holds.hold(held, replica, 12);
  reservations.update(1);
  assert.deepEqual([held.reservedForGang, free.reservedForGang], [null, gang.spec.id]);
  // A hold ends an earlier reservation; the machine can be reserved again once the hold has expired.
  fleet.holds.hold(free, replica, 12);
  reservations.update(2);
  assert.deepEqual([held.reservedForGang, free.reservedForGang], [null, null]);
  reservations.update(13);
  assert.equal(
    [held, free].filter((machine) => machine.reservedForGang === gang.spec.id).length,
    1,
  );
});
