import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { RandomFleet } from '../../testing/leader-load/random-fleet.js';
import { SeededRandom } from '../../testing/random.js';
import { makeFleet, makeJob, registerMachine, STANDARD_TYPE } from '../../testing/samples.js';
import { FleetState } from '../fleet-state.js';

test('a silent machine of an earlier term keeps its tasks until any lease from a former leader has expired', () => {
  const fleet = new FleetState({ settings: makeFleet().settings, term: 200, electedAt: 50 });
  fleet.machines.setType(STANDARD_TYPE);
  const job = fleet.addJob(makeJob({ tasks: 1 }), 0, 'accepted', 50);
  fleet.assignments.inherit(job, 0, registerMachine(fleet, 'n-1'), 1, 50);
  const { formerLeaderS, leaseS } = fleet.settings;
  fleet.leases.expire(50 + formerLeaderS + leaseS);
  assert.equal(fleet.jobs.waitingCount(job), 0);
  fleet.leases.expire(50 + formerLeaderS + leaseS + 2);
  assert.equal(fleet.jobs.waitingCount(job), 1);
});

test('every expired lease is found although most walks over the machines are skipped', () => {
  // Guards the time until which walks are skipped: no lease may expire before it, whatever happens to the machines.
  let walks = 0;
  let calls = 0;
  let expired = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const random = new RandomFleet(new SeededRandom(seed));
    const { leases, machines } = random.fleet;
    for (let step = 0; step < 150; step++) {
      random.step();
      const countedValues = mock.method(machines, 'values');
      expired += leases.expire(random.now).length;
      walks += countedValues.mock.callCount();
      countedValues.mock.restore();
      calls++;
      for (const machine of machines.values()) {
        if (machine.state === 'up') assert.ok(random.now <= leases.latestLeaseEnd(machine));
      }
    }
  }
  assert.ok(expired > 100 && walks < calls / 2, `${walks} walks in ${calls}, ${expired} expired`);
});
