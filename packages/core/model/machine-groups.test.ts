import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chance } from '../../testing/random.js';
import { RandomFleet } from '../../testing/leader-load/random-steps.js';
import {
  addResources,
  type Resources,
  type FleetState,
  type Machine,
  ZERO_RESOURCES,
} from '../index.js';
import { MachineGroups } from './machine-groups.js';

const SEEDS = 40;
const STEPS = 150;

interface GroupRule {
  group: (groups: MachineGroups) => Iterable<Machine>;
  /** Whether a machine belongs to the group, judged from the machine alone. */
  belongs: (machine: Machine) => boolean;
}

const RULES: GroupRule[] = [
  {
    group: (groups) => groups.notInService,
    belongs: (machine) => machine.state !== 'up' || machine.draining || machine.failedInList,
  },
  { group: (groups) => groups.withReclaimNotice, belongs: (machine) => machine.reclaimAt !== null },
  { group: (groups) => groups.reserved, belongs: (machine) => machine.reservedForGang !== null },
  {
    group: (groups) => groups.stopping,
    belongs: (machine) => [...machine.tasks.values()].some(({ stop }) => stop !== null),
  },
  {
    group: (groups) => groups.emptying,
    belongs: ({ state, draining, reclaimAt, tasks }) =>
      state !== 'expired' &&
      !draining &&
      reclaimAt === null &&
      [...tasks.values()].every(
        ({ job, stop }) => job.isBestEffort || stop !== null || job.spec.kind !== 'service',
      ),
  },
];

test('each group of machines has a rule in this test', () => {
  const members = Object.values(Object.getOwnPropertyDescriptors(MachineGroups.prototype));
  assert.equal(members.filter((member) => member.get !== undefined).length, RULES.length);
});

// Guards operations that walk a group in place of all machines: the group must not lack a machine.
test('groups and totals of machines equal what a walk over every machine finds, after any steps', () => {
  const seen = RULES.map(() => 0);
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = new RandomFleet(new Chance(seed));
    for (let step = 0; step < STEPS; step++) {
      random.step();
      const { machines } = random.fleet;
      for (const [index, { group, belongs }] of RULES.entries()) {
        const expected = [...machines.values()].filter(belongs);
        const found = collectSortedNames(group(machines.groups));
        assert.deepEqual(found, collectSortedNames(expected), `${group.toString()}, seed ${seed}`);
        seen[index] += expected.length;
      }
      machines.updateTotals();
      assert.deepEqual(machines.totals, computeTotals(random.fleet));
    }
  }
  for (const count of seen) assert.ok(count > SEEDS, `members seen: ${seen.join(', ')}`);
});

function computeTotals({ machines }: FleetState): Resources {
  const totals = { ...ZERO_RESOURCES };
  for (const machine of machines.values()) addResources(totals, machines.typeOf(machine)!, 1);
  return totals;
}

function collectSortedNames(machines: Iterable<Machine>): string[] {
  return [...machines].map(({ name }) => name).sort();
}
