import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aBook, aJob, aMachine } from '../testing/samples.js';
import { FleetState } from './fleet-state.js';

test('a silent machine of an earlier term keeps its tasks until no owner can have answered it', () => {
  const book = new FleetState({ settings: aBook().settings, term: 200, claimedAt: 50 });
  book.machines.types.set('std', aBook().machines.types.get('std')!);
  const job = book.addJob(aJob({ tasks: 1 }), 0, 'accepted', 50);
  book.assignments.inherit(job, 0, aMachine(book, 'n-1'), 1, 50);
  const { formerOwnerS, leaseS } = book.settings;
  book.leases.expire(50 + formerOwnerS + leaseS);
  assert.equal(book.jobs.waitingCount(job), 0);
  book.leases.expire(50 + formerOwnerS + leaseS + 2);
  assert.equal(book.jobs.waitingCount(job), 1);
});
