import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chance } from '../../testing/random.js';
import { RandomFleet } from '../../testing/owner-load/random-steps.js';
import { addAmounts, type Amounts, type FleetState, type Machine, ZERO_AMOUNTS } from '../index.js';
import type { MachineGroups } from './machine-groups.js';

const SEEDS = 40;
const STEPS = 150;

/** The groups among the members of MachineGroups. */
type GroupName = {
  [Name in keyof MachineGroups]: MachineGroups[Name] extends Iterable<Machine> ? Name : never;
}[keyof MachineGroups];

/** Whether a machine belongs to each group, by the machine alone. */
const BELONGS: Record<GroupName, (machine: Machine) => boolean> = {
  unsettled: (machine) => machine.state !== 'up' || machine.draining || machine.failedInList,
  noticed: (machine) => machine.reclaimAt !== null,
  reserved: (machine) => machine.reservedForGang !== null,
  stopping: (machine) => [...machine.tasks.values()].some(({ stop }) => stop !== null),
  emptying: ({ state, draining, reclaimAt, tasks }) =>
    state !== 'expired' &&
    !draining &&
    reclaimAt === null &&
    [...tasks.values()].every(
      ({ job, stop }) => job.isBestEffort || stop !== null || job.spec.kind !== 'service',
    ),
};

// Guards operations that walk a few machines in place of all: they must not miss any.
test('groups and totals of machines are what a walk over every machine finds, whatever happens', () => {
  const seen: Record<string, number> = {};
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = new RandomFleet(new Chance(seed));
    for (let step = 0; step < STEPS; step++) {
      random.step();
      const { machines } = random.fleet;
      for (const [name, belongs] of Object.entries(BELONGS)) {
        const group: Iterable<Machine> = machines.groups[name as GroupName];
        const expected = [...machines.values()].filter(belongs);
        assert.deepEqual(namesOf(group), namesOf(expected), `${name}, seed ${seed}`);
        seen[name] = (seen[name] ?? 0) + expected.length;
      }
      machines.updateTotals();
      assert.deepEqual(machines.totals, totalsOf(random.fleet));
    }
  }
  for (const name of Object.keys(BELONGS)) assert.ok(seen[name] > SEEDS, name);
});

function totalsOf({ machines }: FleetState): Amounts {
  const totals = { ...ZERO_AMOUNTS };
  for (const machine of machines.values()) addAmounts(totals, machines.typeOf(machine)!, 1);
  return totals;
}

function namesOf(machines: Iterable<Machine>): string[] {
  return [...machines].map(({ name }) => name).sort();
}
