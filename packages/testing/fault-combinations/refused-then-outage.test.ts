/**
 * Guards against confirmed cancellations that get lost when the state service refuses the leader alone: other
 * controllers confirm cancellations that the leader has not heard of, and then an outage begins in which the leader
 * keeps its lease.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CutMode, Fault, FaultRecord, ScenarioResult } from '../simulation/index.js';
import {
  assertAnswersAllMachines,
  confirmedCancellations,
  killedTasks,
  lastTaskLeftAt,
  runScenarioWithSeeds,
  heartbeatsAnswered,
  tasksRunningAt,
  type ConfirmedCancellation,
} from './run-queries.js';
import {
  BUSY_FROM_S,
  CANCEL_S,
  LEASE_S,
  HEARTBEAT_INTERVAL_S,
  steadyScenario,
} from './steady-work.js';

const REFUSED_AT_S = BUSY_FROM_S;
const CANCELLED_AT_S = REFUSED_AT_S + 1;
const OUTAGE_AT_S = REFUSED_AT_S + 2;
const OUTAGE_S = CANCEL_S + 10;
const LENGTH_S = OUTAGE_AT_S + OUTAGE_S + 25;

/** The state service refuses the leader alone, jobs are cancelled, then the state service refuses every controller. */
const REFUSED_THEN_OUTAGE: Fault[] = [
  { kind: 'state-refuses', atS: REFUSED_AT_S, controllers: 'leader', forS: 14 },
  { kind: 'cancel-now', atS: CANCELLED_AT_S, count: 12 },
  { kind: 'state-outage', atS: OUTAGE_AT_S, forS: OUTAGE_S },
];

function makeScenario(name: string, extraFaults: Fault[] = []) {
  return steadyScenario(name, LENGTH_S, [...REFUSED_THEN_OUTAGE, ...extraFaults]);
}

interface RefusalThenOutage {
  /** Name of the controller that led during the refusal and the outage. */
  leader: string;
  outage: FaultRecord;
  confirmed: ConfirmedCancellation[];
}

/** Asserts that only other controllers confirmed cancellations during the refusal, and that the leader stayed leader. */
function assertCancelledWhileRefused(result: ScenarioResult): RefusalThenOutage {
  const [refusal] = result.faults.of('state-refuses');
  const [outage] = result.faults.of('state-outage');
  const leader = refusal.leader!.leader;
  assert.deepEqual(outage.leader, refusal.leader);
  assert.ok(outage.untilS - outage.fromS > CANCEL_S);
  const confirmed = confirmedCancellations(result, refusal.fromS, outage.fromS);
  assert.ok(confirmed.length >= 3, `${confirmed.length} confirmations`);
  assert.ok(confirmed.every(({ controller }) => controller !== leader));
  return { leader, outage, confirmed };
}

/** Asserts that all workers stayed with the leader during the whole outage and that no task was killed. */
function assertWorkKept(result: ScenarioResult, { leader, outage }: RefusalThenOutage): void {
  const { fromS, untilS } = outage;
  assertAnswersAllMachines(result, leader, fromS, untilS);
  assert.deepEqual(killedTasks(result, fromS, untilS + LEASE_S), []);
  assert.ok(tasksRunningAt(result, untilS) >= 10);
}

test('cancellations confirmed while the leader alone is refused are kept in a long outage, and no task is killed', async () => {
  await runScenarioWithSeeds(makeScenario('refused, then an outage'), [1, 3, 4], (result) => {
    assertWorkKept(result, assertCancelledWhileRefused(result));
  });
});

test('confirmed cancellations are kept when the confirming controllers crash before the leader hears of them', async () => {
  const crashAtS = CANCELLED_AT_S + 0.4;
  const extraFaults: Fault[] = [
    { kind: 'peers-cut', atS: CANCELLED_AT_S - 0.2, forS: 0.8, mode: 'drop' },
    { kind: 'controller-crash', atS: crashAtS, controllers: 'followers', downS: 0.1 },
  ];
  await runScenarioWithSeeds(
    makeScenario('confirmed, then crashed', extraFaults),
    [1, 3, 4],
    (result) => {
      const observed = assertCancelledWhileRefused(result);
      const before = observed.confirmed.filter(({ atS }) => atS < crashAtS);
      assert.ok(before.length >= 2, `${before.length} confirmations before the crash`);
      const [cut] = result.faults.of('peers-cut');
      for (const { job } of before) assert.ok(lastTaskLeftAt(result, job) > cut.untilS);
      assertWorkKept(result, observed);
    },
  );
});

test('confirmed cancellations are kept when the links between the controllers are cut at the time of confirmation', async () => {
  const modes: CutMode[] = ['hold', 'drop', 'refuse'];
  for (const mode of modes) {
    const extraFaults: Fault[] = [{ kind: 'peers-cut', atS: CANCELLED_AT_S - 0.2, forS: 3, mode }];
    await runScenarioWithSeeds(
      makeScenario(`links cut (${mode})`, extraFaults),
      [1, 3],
      (result) => {
        const observed = assertCancelledWhileRefused(result);
        const [cut] = result.faults.of('peers-cut');
        for (const { job } of observed.confirmed) {
          assert.ok(
            lastTaskLeftAt(result, job) > cut.untilS,
            `${job} ended before the links were restored`,
          );
        }
        assertWorkKept(result, observed);
      },
    );
  }
});

test('confirmed cancellations are kept when the confirming controllers restart in the outage and no longer know of them', async () => {
  const cutS = 10;
  const extraFaults: Fault[] = [
    { kind: 'peers-cut', atS: CANCELLED_AT_S - 0.2, forS: cutS, mode: 'refuse' },
    { kind: 'controller-crash', atS: OUTAGE_AT_S + 2, controllers: 'followers', downS: 2 },
  ];
  await runScenarioWithSeeds(makeScenario('peers restart', extraFaults), [1, 3, 4], (result) => {
    const { leader, confirmed, outage } = assertCancelledWhileRefused(result);
    const [cut] = result.faults.of('peers-cut');
    const [crash] = result.faults.of('controller-crash');
    assert.ok(crash.fromS > outage.fromS && crash.fromS + 2 < cut.untilS);
    // The leader hears from the restarted peers again; they no longer know what they confirmed before.
    assert.ok(
      heartbeatsAnswered(result, leader, cut.untilS + HEARTBEAT_INTERVAL_S, outage.untilS) >
        LEASE_S,
    );
    for (const { job, atS } of confirmed) {
      const leftS = lastTaskLeftAt(result, job) - atS;
      assert.ok(leftS > cutS && leftS < CANCEL_S, `${job} ran for ${leftS} s more`);
    }
    assert.equal(heartbeatsAnswered(result, leader, outage.fromS + CANCEL_S, outage.untilS), 0);
  });
});

test('jobs cancelled at the moment at which the leader is refused end in time when an outage follows a second later', async () => {
  const faults: Fault[] = [
    { kind: 'state-refuses', atS: REFUSED_AT_S, controllers: 'leader', forS: 14 },
    { kind: 'cancel-now', atS: REFUSED_AT_S, count: 10 },
    { kind: 'state-outage', atS: REFUSED_AT_S + 1, forS: OUTAGE_S },
  ];
  const name = 'cancelled as the leader is refused';
  await runScenarioWithSeeds(steadyScenario(name, LENGTH_S, faults), [1, 2, 3], (result) => {
    const [refusal] = result.faults.of('state-refuses');
    const [outage] = result.faults.of('state-outage');
    const [cancellation] = result.faults.of('cancel-now');
    assert.equal(cancellation.fromS, refusal.fromS);
    assert.ok(outage.fromS - refusal.fromS <= 1);
    assertWorkKept(result, assertCancelledWhileRefused(result));
  });
});
