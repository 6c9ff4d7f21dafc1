import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { FleetState, Scheduler, ServiceCounter, TaskSet } from '#core';
import { cutFromWorkers } from '#controller';
import { aBook, aJob, aMachine, aReport } from './samples.js';
import { SEEDED } from './generators.js';

test('a task that lost its place several times waits only once', () => {
  // Guards against a task that was placed and taken back twice between two looks at the queue and
  // then stood in it twice: it was started on two machines.
  fc.assert(
    fc.property(fc.array(fc.nat(9), { maxLength: 60 }), (moves) => {
      const book = aBook();
      const job = book.addJob(aJob({ tasks: 10 }), 0, 'accepted', 0);
      const machine = aMachine(book, 'n-1');
      book.jobs.waitingTasks(job, 10);
      for (const i of moves) {
        const places = job.places.get(i);
        if (places) book.assignments.stop(places[0], 0, 0);
        else book.assignments.assign(job, i, machine, book.assignments.newAttempt(), 0);
      }
      const waiting = book.jobs.waitingTasks(job, 100);
      assert.equal(new Set(waiting).size, waiting.length);
      assert.equal(waiting.length, book.jobs.waitingCount(job));
      for (const i of waiting) assert.ok(!job.places.has(i));
    }),
    SEEDED,
  );
});

test('a task that may be elsewhere is never given a second place', () => {
  const book = aBook();
  const job = book.addJob(aJob({ tasks: 1 }), 0, 'accepted', 0);
  book.assignments.assign(job, 0, aMachine(book, 'n-1'), 1, 0);
  assert.throws(() => book.assignments.assign(job, 0, aMachine(book, 'n-2'), 2, 0));
});

test('done bits survive being stored in chunks', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 500 }), fc.array(fc.nat(499)), (tasks, done) => {
      const set = new TaskSet(tasks);
      for (const i of done) set.add(i);
      const copy = new TaskSet(tasks);
      for (let c = 0; c * 64 < tasks; c++) copy.addChunk(c, 64, set.chunkText(c, 64));
      assert.equal(copy.size, set.size);
      for (let i = 0; i < tasks; i++) assert.equal(copy.has(i), set.has(i));
    }),
    SEEDED,
  );
});

test('service decays by half in a half-life and does not depend on when it is read', () => {
  const counter = new ServiceCounter(100, 0);
  counter.book(0.5, 0);
  const steadyState = (0.5 * 100) / Math.LN2;
  assert.ok(Math.abs(counter.read(10_000) - steadyState) < 1e-6);
  counter.book(-0.5, 10_000);
  assert.ok(Math.abs(counter.read(10_100) - steadyState / 2) < 1e-6);
  const readOften = new ServiceCounter(100, 0);
  readOften.book(0.25, 0);
  for (let t = 0; t < 50; t++) readOften.book(0, t);
  const readOnce = new ServiceCounter(100, 0);
  readOnce.book(0.25, 0);
  assert.ok(Math.abs(readOften.read(50) - readOnce.read(50)) < 1e-9);
});

test('gang tasks are told to start only when all are recorded', () => {
  const book = aBook();
  const job = book.addJob(aJob({ kind: 'gang', tasks: 2 }), 0, 'accepted', 0);
  const [m1, m2] = [aMachine(book, 'n-1'), aMachine(book, 'n-2')];
  const a1 = book.assignments.assign(job, 0, m1, 7, 0);
  const a2 = book.assignments.assign(job, 1, m2, 7, 0);
  a1.recorded = true;
  const report = (seq: number) => aReport({ seq });
  assert.deepEqual(book.reports.handle(report(1), 1), { kind: 'answer', orders: [] });
  a2.recorded = true;
  assert.deepEqual(book.reports.handle(report(2), 2), {
    kind: 'answer',
    orders: [{ op: 'start', job: job.job.id, index: 0, attempt: 7 }],
  });
  assert.deepEqual(
    book.reports.handle(report(2), 3),
    { kind: 'late-copy' },
    'a copy is answered without orders',
  );
});

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

test('a late copy of an older session does not make inherited tasks look gone', () => {
  // Guards against: a new owner first sees an old copy, then a report of the current session from
  // before the start that the earlier owner sent; the change of session proved nothing.
  const book = aBook();
  const job = book.addJob(aJob({ tasks: 1 }), 0, 'accepted', 0);
  book.assignments.inherit(job, 0, aMachine(book, 'n-1'), 1, 0);
  const report = (session: number, seq: number, token: number) => aReport({ session, seq, token });
  book.reports.handle(report(3, 5, 90), 1);
  book.reports.handle(report(4, 9, 90), 2);
  assert.equal(book.jobs.waitingCount(job), 0);
  book.reports.handle(report(4, 10, book.term), 3);
  assert.equal(book.jobs.waitingCount(job), 1);
});

test('a report overtaken by a direct answer still counts as answered', () => {
  // Guards against a machine being given up while its lease runs: the report was taken for a late
  // copy, but its worker waited for the answer and was renewed by it.
  const book = aBook();
  const machine = aMachine(book, 'n-1');
  const report = (seq: number) => aReport({ seq });
  book.reports.handle(report(1), 1);
  book.directOrders.finish(machine, [], { kind: 'executed', report: report(3) }, 2);
  assert.deepEqual(book.reports.handle(report(2), 9), { kind: 'answer', orders: [] });
  assert.deepEqual(book.reports.handle(report(2), 9.5), { kind: 'late-copy' });
  assert.deepEqual(book.leases.expire(11.6), []);
  assert.deepEqual(book.leases.expire(19.6), [machine]);
});

test('an owner yields when its workers ask its peers for it, and only then', () => {
  // Guards against a fleet whose leases all run out while its owner keeps the part but is cut from
  // the workers, and against resigning over a few lost machines or a fleet that is gone.
  assert.equal(cutFromWorkers(40, 0, 10), true);
  assert.equal(cutFromWorkers(40, 0, 0), false, 'nobody asks');
  assert.equal(cutFromWorkers(40, 30, 10), false, 'a zone is out of reach');
  assert.equal(cutFromWorkers(40, 4, 4), false, 'as many are heard here');
  assert.equal(cutFromWorkers(0, 0, 0), false);
});

/** Three machines full of running work of the lowest rank, and who may stop it. */
function fullFleet() {
  const book = aBook();
  const machines = ['n-1', 'n-2', 'n-3'].map((name) => aMachine(book, name));
  const low = book.addJob(aJob({ id: 'j-1', rank: 3, tasks: 3, gpus: 4 }), 0, 'accepted', 0);
  machines.forEach((machine, i) => {
    const a = book.assignments.assign(low, i, machine, book.assignments.newAttempt(), 0);
    a.recorded = a.told = true;
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
  assert.equal(job.places.size, 1);
  scheduler.round(104.25);
  assert.equal(stopping().length, 1, 'room for the second task is being made');
});

test('nothing is placed on a machine whose reports come while our answers do not reach it', () => {
  // Guards against tasks that wait again and again on a machine that can't hear of them.
  const book = aBook();
  const machine = aMachine(book, 'n-1');
  const avoided = (now: number) => machine.avoidUntil > now;
  for (const now of [1, 2, 3]) book.reports.handle(aReport({ seq: now, token: 7 }), now);
  assert.ok(!avoided(3));
  book.reports.handle(aReport({ seq: 4, token: 7 }), 4);
  assert.ok(avoided(4));
  // It hears us again, then its lease runs out though we answered all the time.
  for (let now = 20; now < 31; now++) book.reports.handle(aReport({ seq: now }), now);
  assert.ok(!avoided(30));
  book.reports.handle(aReport({ seq: 40, session: 2 }), 31);
  assert.ok(avoided(31));
  // Guards against the same being said of a zone whose cut is over: what was held back comes at once.
  for (const seq of [60, 61, 62]) book.reports.handle(aReport({ seq, session: 2 }), 60);
  book.reports.handle(aReport({ seq: 70, session: 3 }), 60.5);
  assert.ok(!avoided(60.5));
});
