import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aBook, aJob, aMachine } from '../testing/samples.js';
import { CapacityPlanner } from './capacity-planner.js';

const TERMS = new Map([['red', { cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }]]);
const AIMS = [{ class: 'c', kind: 'wait', withinS: 4 }];
const SETTINGS = { reserveSigmas: 0, idleHoldS: 60, memoryS: 120 };

function aPlanner(book = aBook()): CapacityPlanner {
  return new CapacityPlanner({ fleet: book, settings: SETTINGS, objectives: AIMS, teams: TERMS });
}

test('a machine is emptied only if its replicas find room beside their image', () => {
  // Guards against a fleet that ends as many machines with one replica each, and against replicas
  // that are moved to where they would wait for their image, or into room that is counted on.
  const emptied = (image: string, waiting: number, ranS: number) => {
    const book = aBook();
    const machines = ['n-1', 'n-2'].map((name) => aMachine(book, name));
    const job = book.addJob(aJob({ kind: 'service', tasks: 3 }), 0, 'accepted', 0);
    [0, 0, 1].forEach((at, i) => {
      const a = book.assignments.assign(job, i, machines[at], book.assignments.newAttempt(), 0);
      Object.assign(a, { startSent: true, recorded: true, reported: 'running', runningSince: 0 });
    });
    machines[0].images = new Map([[image, 5]]);
    book.addJob(aJob({ id: 'j-2', tasks: waiting }), 0, 'accepted', 0);
    const { consolidation } = aPlanner(book).plan(ranS);
    if (consolidation === null) return null;
    return [consolidation.machine.name, ...consolidation.moves.map((m) => m.to.name)];
  };
  assert.deepEqual(emptied('i', 1, 60), ['n-2', 'n-1']);
  assert.equal(emptied('other', 1, 60), null);
  assert.equal(emptied('i', 2, 60), null);
  assert.equal(emptied('i', 1, 5), null);
});
