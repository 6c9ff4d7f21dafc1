import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PROPERTY_TEST_OPTIONS } from '../../testing/generators.js';
import { makeFleet, makeJob, registerMachine } from '../../testing/samples.js';

test('a task that was assigned and stopped several times is queued only once', () => {
  // Guards against a task that is assigned and stopped twice between two reads of the queue: it was queued twice and
  // started on two machines.
  fc.assert(
    fc.property(fc.array(fc.nat(9), { maxLength: 60 }), (indexes) => {
      const fleet = makeFleet();
      const job = fleet.addJob(makeJob({ tasks: 10 }), 0, 'accepted', 0);
      const machine = registerMachine(fleet, 'n-1');
      fleet.jobs.waitingTasks(job, 10);
      for (const i of indexes) {
        const current = job.assignments.get(i);
        if (current) fleet.assignments.stop(current[0], 0, 0);
        else fleet.assignments.assign(job, i, machine, fleet.assignments.newAttempt(), 0);
      }
      const waiting = fleet.jobs.waitingTasks(job, 100);
      assert.equal(new Set(waiting).size, waiting.length);
      assert.equal(waiting.length, fleet.jobs.waitingCount(job));
      for (const i of waiting) assert.ok(!job.assignments.has(i));
    }),
    PROPERTY_TEST_OPTIONS,
  );
});

test('a task that may still be on a machine is never assigned to a second one', () => {
  const fleet = makeFleet();
  const job = fleet.addJob(makeJob({ tasks: 1 }), 0, 'accepted', 0);
  fleet.assignments.assign(job, 0, registerMachine(fleet, 'n-1'), 1, 0);
  assert.throws(() => fleet.assignments.assign(job, 0, registerMachine(fleet, 'n-2'), 2, 0));
});
