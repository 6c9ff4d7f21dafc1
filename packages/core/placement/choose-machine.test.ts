import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FleetState,
  chooseMachine,
  hasCapacity,
  isUsable,
  JobState,
  Machine,
  placementCost,
  PlacementCandidates,
  typeFits,
  zoneAllowed,
  tasksByZone,
} from '../index.js';
import { SeededRandom } from '../../testing/random.js';
import { makeFleet, makeJob, registerMachine } from '../../testing/samples.js';

/** Chooses the machine by applying the placement rules to every machine of the fleet. */
function chooseByExhaustiveSearch(fleet: FleetState, state: JobState, now: number): Machine | null {
  const { spec } = state;
  const classTasksByZone = new Map<string, number>();
  for (const { zone, tasks } of fleet.machines.values()) {
    for (const { job: other } of tasks.values()) {
      if (other.spec.class !== spec.class) continue;
      classTasksByZone.set(zone, (classTasksByZone.get(zone) ?? 0) + 1);
    }
  }
  let best: { machine: Machine; cost: number } | null = null;
  for (const machine of fleet.machines.values()) {
    const type = fleet.machines.types.get(machine.type)!;
    if (!isUsable(machine, fleet.settings.machineRecordBytes, now)) continue;
    if (fleet.holds.isHeldForOther(machine, state, now)) continue;
    if (machine.reservedForGang !== null && machine.reservedForGang !== spec.id) continue;
    if ((machine.spot && !spec.spot) || !typeFits(spec, type)) continue;
    if (
      !hasCapacity(spec, machine.used, type) ||
      !zoneAllowed(spec, machine.zone, tasksByZone(state))
    )
      continue;
    const zoneCost = spec.spread ? (classTasksByZone.get(machine.zone) ?? 0) / 4 : 0;
    const cost = placementCost(spec, machine, type) + zoneCost;
    if (best === null || cost < best.cost) best = { machine, cost };
  }
  return best?.machine ?? null;
}

// Guards against candidate lists that change decisions: a round keeps lists of machines so that not every
// job visits every machine, and a list that is out of date would lead to another choice.
test('choosing from the candidate lists of a round gives the same machine as an exhaustive search', () => {
  let compared = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const chance = new SeededRandom(seed);
    const fleet = makeFleet();
    const jobs: JobState[] = [];
    for (let i = 0; i < 24; i++) {
      const spread = chance.withProbability(0.3);
      const job = makeJob({
        id: `j-${i}`,
        class: `c${chance.int(0, 2)}`,
        kind: 'service',
        rank: chance.int(0, 3),
        tasks: chance.int(1, 4),
        cpus: chance.int(1, 3) * 2,
        gpus: chance.int(0, 2),
        image: `i${chance.int(0, 3)}`,
        spread,
        oneZone: !spread && chance.withProbability(0.2),
        zone: chance.withProbability(0.15) ? 'a' : null,
        spot: chance.withProbability(0.5),
      });
      jobs.push(fleet.addJob(job, 0, 'accepted', 0));
    }
    for (let i = 0; i < 12; i++) {
      const machine = registerMachine(fleet, `n-${i}`, {
        zone: i % 2 ? 'a' : 'b',
        spot: chance.withProbability(0.3),
      });
      if (chance.withProbability(0.1)) fleet.machines.drain(machine);
      if (chance.withProbability(0.1)) machine.cordonedUntil = 5;
      if (chance.withProbability(0.2)) fleet.holds.hold(machine, jobs[chance.int(0, 23)], 20);
      if (chance.withProbability(0.1))
        fleet.machines.reserve(machine, jobs[chance.int(0, 23)].spec.id);
    }
    const now = 10;
    const candidates = new PlacementCandidates(fleet, now);
    for (let i = 0; i < 80; i++) {
      const state = jobs[chance.int(0, 23)];
      const [index] = fleet.jobs.waitingTasks(state, 1);
      if (index === undefined) continue;
      const expected = chooseByExhaustiveSearch(fleet, state, now);
      assert.equal(chooseMachine(fleet, state, tasksByZone(state), candidates, now), expected);
      compared++;
      if (expected)
        fleet.assignments.assign(state, index, expected, fleet.assignments.newAttempt(), now);
    }
  }
  assert.ok(compared > 1000);
});
