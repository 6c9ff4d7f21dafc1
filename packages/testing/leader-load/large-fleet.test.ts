import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FleetState } from '#core';
import { Chance } from '../random.js';
import { recordsOf } from './fleet-records.js';
import { StandingFleet, STEADY_AT } from './standing-fleet.js';

const MACHINES = 4000;
const FREE_SHARE = 0.03;
const LEASE_S = 10;
const DECISIONS_A_ROUND = 200;
const BURST = 500;

function aFullFleet(): StandingFleet {
  const standing = StandingFleet.ofMachines(MACHINES, new Chance(1));
  standing.fill(FREE_SHARE);
  return standing;
}

/** Places of all tasks, as `machine job/index#attempt`. */
function placesOf(fleet: FleetState): string[] {
  const places = [...fleet.machines.values()].flatMap(({ name, tasks }) =>
    [...tasks.values()].map(({ job, index, attempt }) => {
      return `${name} ${job.spec.id}/${index}#${attempt}`;
    }),
  );
  return places.sort();
}

test('an owner of 4,000 machines takes over, hears all of them, places a burst and loses a zone', () => {
  const before = aFullFleet();
  const places = placesOf(before.fleet);
  assert.ok(places.length > 3 * MACHINES, `${places.length} tasks`);

  const standing = StandingFleet.ofRecords(recordsOf(before.fleet), new Chance(2));
  const { fleet, scheduler } = standing;
  assert.deepEqual(placesOf(fleet), places, 'the records name every task');

  for (const machine of fleet.machines.values()) {
    const outcome = fleet.heartbeats.handle(standing.heartbeatOf(machine), STEADY_AT);
    assert.deepEqual(outcome, { kind: 'answer', orders: [] }, machine.name);
  }
  assert.deepEqual(placesOf(fleet), places, 'reports change nothing');

  for (let i = 0; i < BURST; i++)
    standing.submit(STEADY_AT, {
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
    const decisions = scheduler.round(STEADY_AT);
    assert.ok(decisions <= DECISIONS_A_ROUND, `${decisions} decisions`);
    decided += decisions;
    more = decisions >= DECISIONS_A_ROUND;
  }
  assert.ok(decided >= BURST, `${decided} decisions in ${rounds} rounds`);
  assert.ok(rounds <= Math.ceil(BURST / DECISIONS_A_ROUND) + 2, `${rounds} rounds`);
  standing.settle(STEADY_AT);
  loseZone(standing, 'a');
});

/** The zone's machines fall silent, all others report once a lease has run out. */
function loseZone({ fleet }: StandingFleet, lost: string): void {
  const machines = [...fleet.machines.values()];
  const others = machines.filter(({ zone }) => zone !== lost);
  const tasksElsewhere = others.reduce((sum, { tasks }) => sum + tasks.size, 0);
  const tasksLost = machines
    .filter(({ zone }) => zone === lost)
    .reduce((sum, { tasks }) => sum + tasks.size, 0);
  assert.ok(tasksLost > MACHINES / 2, `${tasksLost} tasks in the zone`);
  const now = STEADY_AT + 10 * LEASE_S;
  for (const machine of others) machine.answeredAt = now;
  const expired = fleet.leases.expire(now);
  assert.equal(expired.length, machines.length - others.length);
  assert.ok(expired.every(({ zone, tasks }) => zone === lost && tasks.size === 0));
  assert.equal(
    others.reduce((sum, { tasks }) => sum + tasks.size, 0),
    tasksElsewhere,
    'nothing else has lost its place',
  );
}
