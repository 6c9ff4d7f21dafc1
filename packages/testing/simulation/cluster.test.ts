import assert from 'node:assert/strict';
import { test } from 'node:test';
import { USUAL_CLASSES } from '../standins/index.js';
import {
  ABORT_PATH,
  describeProblems,
  REPORT_PATH,
  runScenario,
  SMALL_CLUSTER,
  type Fault,
  type Scenario,
} from './index.js';

const CANCEL_S = SMALL_CLUSTER.deployment.workers.cancel_s;

function scenario(name: string, lengthS: number, faults: Fault[]): Scenario {
  const workload = { classes: USUAL_CLASSES, untilS: lengthS - 60 };
  return { name, cluster: SMALL_CLUSTER, workload, faults, lengthS };
}

test('a quiet day serves its work, and the same seed gives the same day', async () => {
  const quiet = scenario('quiet', 240, []);
  const [first, second, other] = [
    await runScenario(quiet, 1),
    await runScenario(quiet, 1),
    await runScenario(quiet, 2),
  ];
  assert.deepEqual(describeProblems(first), []);
  assert.equal(first.leaders.length, 1);
  assert.equal(first.counts.jobsAccepted, first.counts.jobsSubmitted);
  assert.ok(first.counts.tasksCompleted > 50);
  assert.equal(first.counts.tasksKilled, 0);
  assert.equal(first.digest, second.digest);
  assert.deepEqual(first.timeline.events, second.timeline.events);
  assert.notEqual(first.digest, other.digest);
});

test('another controller takes over from a leader that crashes, is refused, cut off or frozen', async () => {
  const cutFromState: Omit<Fault & { kind: 'controller-cut' }, 'atS' | 'forS'> = {
    kind: 'controller-cut',
    controllers: 'leader',
    from: ['state'],
    mode: 'drop',
  };
  const faults: Fault[] = [
    { kind: 'controller-crash', atS: 40, controllers: 'leader', downS: 0.4 },
    { kind: 'state-refuses', atS: 70, controllers: 'leader', forS: 12 },
    { ...cutFromState, atS: 100, forS: 12 },
    { kind: 'controller-freeze', atS: 130, controllers: 'leader', forS: 12 },
  ];
  const result = await runScenario(scenario('four leaders lost', 260, faults), 2);
  assert.deepEqual(describeProblems(result), []);
  const { leaders } = result;
  assert.equal(leaders.length, 1 + faults.length);
  for (const [index, { leader, fromS, controllers }] of result.faults.records.entries()) {
    assert.equal(leader, leaders[index]);
    assert.deepEqual(controllers, [leader?.owner]);
    const successor = leaders[index + 1];
    assert.ok(successor.atS > fromS && successor.atS < fromS + 12);
  }
});

test('tasks whose cancellation another controller confirmed end in time though an outage follows', async () => {
  const faults: Fault[] = [
    { kind: 'state-refuses', atS: 100, controllers: 'leader', forS: 14 },
    { kind: 'cancel-now', atS: 101, count: 10 },
    { kind: 'state-outage', atS: 102, forS: 52 },
  ];
  for (const seed of [1, 2, 3]) {
    const result = await runScenario(scenario('confirmed, then an outage', 240, faults), seed);
    assert.deepEqual(describeProblems(result), []);
    // The meeting: the refused leader still held the part when others confirmed, and until the end of
    // the outage, and its workers stayed with it for longer than the time that a cancellation has.
    const [refusal] = result.faults.of('state-refuses');
    const [outage] = result.faults.of('state-outage');
    assert.equal(outage.leader, refusal.leader);
    const between = { fromS: refusal.fromS, untilS: outage.fromS };
    const confirmed = result.requests.find({ ...between, path: ABORT_PATH, status: 200 });
    assert.ok(confirmed.length >= 3, `${confirmed.length} confirmations`);
    const leader = refusal.leader!.owner;
    assert.ok(confirmed.every(({ controller }) => controller !== leader));
    assert.ok(outage.untilS - outage.fromS > CANCEL_S);
    const reports = result.requests.find({
      controller: leader,
      path: REPORT_PATH,
      status: 200,
      fromS: outage.fromS + CANCEL_S,
      untilS: outage.untilS,
    });
    assert.ok(reports.length > outage.untilS - outage.fromS - CANCEL_S);
  }
});
