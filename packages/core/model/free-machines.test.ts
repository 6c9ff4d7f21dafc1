import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomFleet } from '../../testing/leader-load/random-steps.js';
import { Chance } from '../../testing/random.js';
import { aJob } from '../../testing/samples.js';
import { type FleetState, hasCapacity, type Machine } from '../index.js';

const TASKS = [
  { gpus: 1, cpus: 8 },
  { gpus: 4, cpus: 0 },
  { gpus: 0, cpus: 4 },
  { gpus: 0, cpus: 0 },
].map((need) => aJob({ ...need, memory: 1 }));

function findMachinesWithCapacity(
  fleet: FleetState,
  machines: Iterable<Machine>,
  task: (typeof TASKS)[0],
) {
  return [...machines].filter((machine) => {
    const type = fleet.machines.typeOf(machine);
    return machine.state === 'up' && type && hasCapacity(task, machine.used, type);
  });
}

// Guards placement, which considers only these machines: those with capacity must all be there, in the same order.
test('the candidates for a task include each machine with capacity that a walk over every machine finds', () => {
  let found = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const random = new RandomFleet(new Chance(seed));
    const { fleet } = random;
    for (let step = 0; step < 150; step++) {
      random.step();
      for (const task of TASKS) {
        const listed = findMachinesWithCapacity(
          fleet,
          fleet.machines.free.candidatesFor(task),
          task,
        );
        const expected = findMachinesWithCapacity(fleet, fleet.machines.values(), task);
        assert.deepEqual(listed, expected);
        found += expected.length;
      }
    }
  }
  assert.ok(found > 10_000, `${found} places`);
});
