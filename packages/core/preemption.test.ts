import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aBook, aJob, aMachine, aReport } from '../testing/samples.js';
import { Scheduler } from './scheduler.js';

/** Three machines full of running work of the lowest rank, and who may stop it. */
function fullFleet() {
  const book = aBook();
  const machines = ['n-1', 'n-2', 'n-3'].map((name) => aMachine(book, name));
  const low = book.addJob(aJob({ id: 'j-1', rank: 3, tasks: 3, gpus: 4 }), 0, 'accepted', 0);
  machines.forEach((machine, i) => {
    const a = book.assignments.assign(low, i, machine, book.assignments.newAttempt(), 0);
    a.recorded = a.startSent = true;
    a.reported = 'running';
    a.runningSince = 0;
  });
  const terms = { cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };
  const scheduler = new Scheduler(book, new Map([['red', terms]]), {
    floorWeight: 0.05,
    stopThreshold: 0.5,
    gangLeaseS: 120,
    preemptAfterS: 2,
    decisionsPerRound: 100,
  });
  const stopping = () => machines.flatMap((m) => [...m.tasks.values()].filter((a) => a.stop));
  return { book, scheduler, stopping };
}

test('work is stopped once for a waiting task, not again while the room is coming free', () => {
  // Guards against stopping work on one machine after another while the first stop takes effect.
  const { book, scheduler, stopping } = fullFleet();
  book.addJob(aJob({ id: 'j-2', rank: 1, gpus: 4 }), 100, 'accepted', 100);
  scheduler.round(101);
  assert.equal(stopping().length, 0, 'not before it has waited');
  for (const t of [103, 103.25, 103.5, 104]) scheduler.round(t);
  assert.equal(stopping().length, 1);
});

test('room that was made and taken does not count as coming for the rest of the job', () => {
  // Guards against replicas of one job that get their places one by one, each only when the time
  // that the room before was held for has run out.
  const { book, scheduler, stopping } = fullFleet();
  const job = book.addJob(aJob({ id: 'j-2', rank: 1, tasks: 2, gpus: 4 }), 100, 'accepted', 100);
  scheduler.round(103);
  const [first] = stopping();
  const { machine, attempt, index } = first;
  const ended = { job: 'j-1', index, attempt, state: 'exited', cause: 'stopped' } as const;
  book.reports.handle(
    aReport({ machine: machine.name, tasks: [{ ...ended, saved: false }] }),
    103.5,
  );
  scheduler.round(104);
  assert.equal(job.assignments.size, 1);
  scheduler.round(104.25);
  assert.equal(stopping().length, 1, 'room for the second task is being made');
});
