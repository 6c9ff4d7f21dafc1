import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aFleet, aJob, aMachine } from '../testing/samples.js';
import { FleetState } from './fleet-state.js';

test('a silent machine of an earlier term keeps its tasks until no owner can have answered it', () => {
  const fleet = new FleetState({ settings: aFleet().settings, term: 200, claimedAt: 50 });
  fleet.machines.types.set('std', aFleet().machines.types.get('std')!);
  const job = fleet.addJob(aJob({ tasks: 1 }), 0, 'accepted', 50);
  fleet.assignments.inherit(job, 0, aMachine(fleet, 'n-1'), 1, 50);
  const { formerOwnerS, leaseS } = fleet.settings;
  fleet.leases.expire(50 + formerOwnerS + leaseS);
  assert.equal(fleet.jobs.waitingCount(job), 0);
  fleet.leases.expire(50 + formerOwnerS + leaseS + 2);
  assert.equal(fleet.jobs.waitingCount(job), 1);
});
