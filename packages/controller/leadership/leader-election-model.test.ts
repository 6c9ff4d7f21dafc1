import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededLeadershipFault, LeadershipViolation, runLeaderElectionModel } from '#testing';

const SEEDS = 200;

function runAllSeeds(fault: SeededLeadershipFault) {
  const violations = new Set<LeadershipViolation>();
  let attestedSteps = 0;
  let standbySteps = 0;
  for (let seed = 1; seed <= SEEDS; seed++) {
    const run = runLeaderElectionModel(seed, fault);
    for (const violation of run.violations) violations.add(violation);
    attestedSteps += run.attestedSteps;
    standbySteps += run.standbySteps;
  }
  return { violations, attestedSteps, standbySteps };
}

test('the leader lease prevents violations under faults of the state service, peers and connections', () => {
  const { violations, attestedSteps, standbySteps } = runAllSeeds('none');
  assert.deepEqual([...violations], []);
  assert.ok(attestedSteps > 1000, 'leaders must have acted on the attestations of their peers');
  assert.ok(standbySteps > 100, 'followers must have renewed leases for leaders that had ended');
});

// Each check must fail for at least one fault that is deliberately built into the model.
const detectedFaults: [SeededLeadershipFault, LeadershipViolation][] = [
  ['trusts-arrival-time', 'acts-beside-successor'],
  ['trusts-restarted-peer', 'acts-on-unknown-cancellation'],
  ['ignores-peer-cancellations', 'acts-on-unknown-cancellation'],
  ['renews-for-live-leader', 'renews-beside-leader'],
];
for (const [fault, violation] of detectedFaults) {
  test(`the checks of the model detect the fault ${fault}`, () => {
    assert.ok(runAllSeeds(fault).violations.has(violation));
  });
}
