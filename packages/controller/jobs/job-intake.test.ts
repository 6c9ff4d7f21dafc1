import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobRecord } from '#store';
import { aFleet, aJob, aMachine, StateWorld } from '#testing';
import { JobIntake } from './job-intake.js';

const LIMITS = { rps: 100, writeRps: 100, valueBytes: 8192, txnOps: 24 };

/** Creates a job intake; users have requested to cancel the jobs with the ids `idsToCancel`. */
async function createIntake(idsToCancel: string[]) {
  const world = await StateWorld.start(LIMITS);
  const fleet = aFleet();
  const arrivals: string[] = [];
  const intake = new JobIntake({
    clock: world.controller().clock,
    fleet,
    planner: { jobArrived: (job) => void arrivals.push(job.id) },
    jobs: {
      isCancelled: (id) => idsToCancel.includes(id),
      hasOpenDependencies: () => false,
      openDependenciesOf: () => [],
      urgencyOf: () => ({ rank: 2, dueAtMs: Infinity }),
    },
    log: { debug: () => {} },
  });
  return { fleet, intake, arrivals };
}

function createAcceptedRecord(id: string): JobRecord {
  return { job: aJob({ id }), acceptedAtMs: 0, phase: 'accepted', version: 1 };
}

test('a job never starts if its cancellation was requested before the leader read its record', async () => {
  // Guards against starts in the half heartbeat interval before a leader checked the cancellation requests: a new
  // leader, or the leader of a job whose record arrived after the request.
  const { fleet, intake, arrivals } = await createIntake(['j-1']);
  intake.accept(createAcceptedRecord('j-1'));
  intake.accept(createAcceptedRecord('j-2'));
  assert.deepEqual(arrivals, ['j-1', 'j-2']);
  assert.deepEqual(
    [...fleet.jobs.waiting].map((job) => job.spec.id),
    ['j-2'],
  );
  assert.deepEqual([...intake.unrecordedCancellations.keys()], ['j-1']);
  // Tasks that an earlier term has started are stopped.
  const job = fleet.jobs.get('j-1')!;
  fleet.assignments.inherit(job, 0, aMachine(fleet, 'n-1'), 1, 0);
  assert.equal(job.assignments.get(0)?.[0].stop?.graceS, 0);
  intake.accept({ ...createAcceptedRecord('j-1'), phase: 'cancelled', version: 2 });
  assert.equal(intake.unrecordedCancellations.size, 0);
});

test('a cancellation request ends an open job, and only once', async () => {
  const { fleet, intake } = await createIntake([]);
  intake.accept(createAcceptedRecord('j-1'));
  assert.ok(intake.cancel('j-1'));
  assert.ok(!intake.cancel('j-1'));
  assert.ok(!intake.cancel('j-2'));
  assert.equal(fleet.jobs.waiting.size, 0);
});
