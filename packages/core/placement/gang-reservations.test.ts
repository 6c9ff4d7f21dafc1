import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aFleet, aJob, aMachine } from '../../testing/samples.js';
import { GangReservations } from './gang-reservations.js';

test('a machine whose capacity is held for other work is not reserved for a gang', () => {
  // Guards against empty machines that serve nobody: capacity made for a replica was reserved for a gang,
  // so that the replica could not go there and the gang had to wait for the replica, over and over.
  const fleet = aFleet();
  const [held, free] = [aMachine(fleet, 'n-1'), aMachine(fleet, 'n-2')];
  const replica = fleet.addJob(aJob({ id: 'j-1', kind: 'service', rank: 1 }), 0, 'accepted', 0);
  const gang = fleet.addJob(aJob({ id: 'j-2', kind: 'gang', gpus: 4 }), 0, 'accepted', 0);
  const reservations = new GangReservations(fleet);
  fleet.holds.hold(held, replica, 12);
  reservations.update(1);
  assert.deepEqual([held.reservedForGang, free.reservedForGang], [null, gang.spec.id]);
  // A reservation that is older than the hold ends, and comes back once the hold has run out.
  fleet.holds.hold(free, replica, 12);
  reservations.update(2);
  assert.deepEqual([held.reservedForGang, free.reservedForGang], [null, null]);
  reservations.update(13);
  assert.equal(
    [held, free].filter((machine) => machine.reservedForGang === gang.spec.id).length,
    1,
  );
});
