import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FleetState } from '#core';
import { SeededRandom } from '../random.js';
import { recordsOf } from './fleet-records.js';
import { FleetFixture, SETTLED_AT } from './fleet-fixture.js';

const MACHINES = 4000;
const FREE_SHARE = 0.03;
const LEASE_S = 10;
const DECISIONS_PER_ROUND = 200;
const BURST = 500;

function createFullFleet(): FleetFixture {
  const fixture = FleetFixture.withMachines(MACHINES, new SeededRandom(1));
  fixture.fill(FREE_SHARE);
  return fixture;
}

/** Lists the tasks of all machines as `machine job/index#attempt`, sorted. */
function placementsOf(fleet: FleetState): string[] {
  const places = [...fleet.machines.values()].flatMap(({ name, tasks }) =>
    [...tasks.values()].map(({ job, index, attempt }) => {
      return `${name} ${job.spec.id}/${index}#${attempt}`;
    }),
  );
  return places.sort();
}

test('a leader of 4,000 machines takes over, handles heartbeats of all, places a burst and loses a zone', () => {
  const before = createFullFleet();
  const places = placementsOf(before.fleet);
  assert.ok(places.length > 3 * MACHINES, `${places.length} tasks`);

  const fixture = FleetFixture.fromRecords(recordsOf(before.fleet), new SeededRandom(2));
  const { fleet, scheduler } = fixture;
  assert.deepEqual(placementsOf(fleet), places, 'the records contain every task');

  for (const machine of fleet.machines.values()) {
    const outcome = fleet.heartbeats.handle(fixture.heartbeatOf(machine), SETTLED_AT);
    assert.deepEqual(outcome, { kind: 'answer', orders: [] }, machine.name);
  }
  assert.deepEqual(placementsOf(fleet), places, 'heartbeats move no task');

  for (let i = 0; i < BURST; i++)
    fixture.submit(SETTLED_AT, {
      kind: 'service',
      tasks: 1,
      gpus: 0,
      cpus: 0.1,
      memory: 0.1,
      rank: 1,
    });
  let rounds = 0;
  let decided = 0;
  for (let more = true; more; rounds++) {
    const decisions = scheduler.round(SETTLED_AT);
    assert.ok(decisions <= DECISIONS_PER_ROUND, `${decisions} decisions`);
    decided += decisions;
    more = decisions >= DECISIONS_PER_ROUND;
  }
  assert.ok(decided >= BURST, `${decided} decisions in ${rounds} rounds`);
  assert.ok(rounds <= Math.ceil(BURST / DECISIONS_PER_ROUND) + 2, `${rounds} rounds`);
  fixture.settle(SETTLED_AT);
  assertOnlyZoneLost(fixture, 'a');
});

/** Lets the leases of the zone's machines expire while all others report, and checks that only the zone's tasks end. */
function assertOnlyZoneLost({ fleet }: FleetFixture, lost: string): void {
  const machines = [...fleet.machines.values()];
  const others = machines.filter(({ zone }) => zone !== lost);
  const tasksElsewhere = others.reduce((sum, { tasks }) => sum + tasks.size, 0);
  const tasksLost = machines
    .filter(({ zone }) => zone === lost)
    .reduce((sum, { tasks }) => sum + tasks.size, 0);
  assert.ok(tasksLost > MACHINES / 2, `${tasksLost} tasks in the zone`);
  const now = SETTLED_AT + 10 * LEASE_S;
  for (const machine of others) machine.answeredAt = now;
  const expired = fleet.leases.expire(now);
  assert.equal(expired.length, machines.length - others.length);
  assert.ok(expired.every(({ zone, tasks }) => zone === lost && tasks.size === 0));
  assert.equal(
    others.reduce((sum, { tasks }) => sum + tasks.size, 0),
    tasksElsewhere,
    'all tasks outside the zone keep their machines',
  );
}
