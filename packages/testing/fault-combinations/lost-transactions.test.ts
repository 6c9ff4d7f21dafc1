import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JOBS_PREFIX, shardKey } from '#store';
import {
  serviceAddress,
  type ClusterSettings,
  type Fault,
  type ScenarioResult,
  type TimedEvent,
} from '../simulation/index.js';
import { confirmations, killedTasks, playMeeting, tasksRunningAt } from './run-queries.js';
import { BUSY_FROM_S, LEASE_S, HEARTBEAT_INTERVAL_S, steadyScenario } from './steady-work.js';

const BEGIN_S = BUSY_FROM_S;
/** When a part is claimed whose owner crashed at BEGIN_S: once its grant has run out. */
const ELECTION_S: [number, number] = [BEGIN_S + 0.2 * LEASE_S, BEGIN_S + 0.35 * LEASE_S];

type Transaction = TimedEvent & { kind: 'transaction' };

function keysOf({ changes }: Transaction): string[] {
  return changes.map((change) => ('put' in change ? change.put : change.delete));
}

/** Transactions of the controllers that got no answer. */
function unanswered({ timeline }: ScenarioResult): Transaction[] {
  return timeline.of('transaction').filter(({ answered }) => !answered);
}

function claims(transactions: Transaction[]): Transaction[] {
  return transactions.filter((transaction) => keysOf(transaction).includes(shardKey(0)));
}

/** A newer transaction of the same controller was carried out while this one was held up. */
function isOvertaken({ timeline }: ScenarioResult, late: Transaction): boolean {
  const sentAtS = late.atS - late.heldS;
  return timeline
    .of('transaction', sentAtS, late.atS)
    .some((other) => other.clientHost === late.clientHost && other.atS - other.heldS > sentAtS);
}

/** Jobs whose record this transaction wrote and that another controller soon told a user of or began. */
function jobsReadElsewhere({ requests, timeline }: ScenarioResult, written: Transaction): string[] {
  const isElsewhere = (host: string) => host !== written.clientHost;
  const [fromS, untilS] = [written.atS, written.atS + HEARTBEAT_INTERVAL_S];
  const begun = timeline
    .of('transaction', fromS, untilS)
    .filter(({ clientHost, applied }) => applied && isElsewhere(clientHost))
    .map(({ changes }) => JSON.stringify(changes));
  return jobsOf(written).filter((job) => {
    const path = new RegExp(`^/submissions/${job}`);
    const told = requests.find({ fromS, untilS, path, status: 200 });
    return (
      told.some(({ controller }) => isElsewhere(hostOf(controller))) ||
      begun.some((changes) => changes.includes(job))
    );
  });
}

function jobsOf(transaction: Transaction): string[] {
  const keys = keysOf(transaction).filter((key) => key.startsWith(JOBS_PREFIX));
  return keys.map((key) => key.slice(JOBS_PREFIX.length));
}

function hostOf(controller: string): string {
  return serviceAddress(Number(controller.split('-')[1])).host;
}

test('transactions and claims without an answer are carried out late, after newer ones of the same controller', async () => {
  const faults: Fault[] = [
    { kind: 'close-looks', atS: BEGIN_S - 5, forS: 40 },
    { kind: 'late-writes', atS: BEGIN_S - 2, forS: 3, share: 0.5, delayS: [1, 6] },
    { kind: 'controller-crash', atS: BEGIN_S, controllers: 'leader', downS: 0.3 },
    { kind: 'cancel-now', atS: BEGIN_S + 0.5, count: 4 },
    {
      kind: 'late-writes',
      atS: ELECTION_S[0],
      forS: ELECTION_S[1] - ELECTION_S[0],
      share: 1,
      delayS: [1, 4],
    },
    { kind: 'late-writes', atS: ELECTION_S[1] + 1, forS: 10, share: 0.4, delayS: [1, 6] },
    { kind: 'cancel-now', atS: BEGIN_S + 9, count: 4 },
  ];
  await playMeeting(steadyScenario('late writes', BEGIN_S + 55, faults), [1, 2, 3], (result) => {
    const late = unanswered(result).filter(({ heldS }) => heldS >= 1);
    assert.ok(claims(late).length > 0, 'no claim was late');
    const overtaken = late.filter((transaction) => isOvertaken(result, transaction));
    assert.ok(overtaken.length >= 3, `${overtaken.length} were overtaken`);
    assert.ok(late.some(({ applied }) => applied) && late.some(({ applied }) => !applied));
    const [crash] = result.faults.of('controller-crash');
    assert.ok(result.leaders.some(({ term }) => term > crash.leader!.term));
    assert.ok(confirmations(result, crash.fromS, BEGIN_S + 20).length >= 4);
    assert.deepEqual(killedTasks(result, BEGIN_S, BEGIN_S + 55), []);
  });
});

test('transactions and claims are carried out at once and only their answer is lost while others read them', async () => {
  const faults: Fault[] = [
    { kind: 'close-looks', atS: BEGIN_S - 15, forS: 50 },
    { kind: 'lost-answers', atS: BEGIN_S - 12, forS: 13, share: 0.5 },
    { kind: 'controller-crash', atS: BEGIN_S, controllers: 'leader', downS: 0.3 },
    { kind: 'lost-answers', atS: ELECTION_S[0], forS: ELECTION_S[1] - ELECTION_S[0], share: 1 },
    { kind: 'lost-answers', atS: ELECTION_S[1] + 1, forS: 20, share: 0.5 },
    { kind: 'cancel-now', atS: BEGIN_S + 8, count: 6 },
  ];
  await playMeeting(steadyScenario('lost answers', BEGIN_S + 55, faults), [1, 2, 3], (result) => {
    const lost = unanswered(result).filter(({ applied }) => applied);
    const [claim] = claims(lost);
    assert.ok(claim !== undefined, 'the answer to no claim was lost');
    const elected = result.leaders.find(({ atS }) => atS >= claim.atS)!;
    assert.equal(hostOf(elected.leader), claim.clientHost);
    const readElsewhere = lost.flatMap((transaction) => jobsReadElsewhere(result, transaction));
    assert.ok(readElsewhere.length >= 3, `${readElsewhere.length} jobs were read elsewhere`);
    assert.ok(confirmations(result, BEGIN_S + 8, BEGIN_S + 20).length >= 3);
    assert.deepEqual(killedTasks(result, BEGIN_S, BEGIN_S + 55), []);
  });
});

/** The same cluster with machines of a few tasks each, so that more of them are rented. */
function smallMachines(cluster: ClusterSettings): ClusterSettings {
  const machineTypes = cluster.machineTypes.map((type) => ({ ...type, cpus: 16, memory: 64 }));
  return { ...cluster, machineTypes, capacity: [{ machines: 16 }] };
}

test('the leader ends while writes lag and machines that were up within two seconds get work at once', async () => {
  // The first jobs come, and the first machines are rented, from the start on.
  const lag = { fromS: 3, forS: 15 };
  const crashAtS = 12;
  const faults: Fault[] = [
    { kind: 'quick-boots', atS: 0, forS: 40 },
    { kind: 'late-writes', atS: lag.fromS, forS: lag.forS, share: 0.4, delayS: [2, 6] },
    { kind: 'controller-crash', atS: crashAtS, controllers: 'leader', downS: 2 },
  ];
  const steady = steadyScenario('quick boots', 75, faults);
  const workload = { ...steady.workload, intensity: 5 };
  const scenario = { ...steady, workload, cluster: smallMachines(steady.cluster) };
  await playMeeting(scenario, [1, 2, 3], (result) => {
    const { timeline } = result;
    const busySoon = timeline.of('machine-up', lag.fromS, crashAtS).filter(({ machine, atS }) => {
      const given = timeline.of('task-assigned', atS, Math.min(atS + 2, crashAtS));
      return given.some((task) => task.machine === machine.name);
    });
    assert.ok(busySoon.length >= 2, `${busySoon.length} new machines had work at once`);
    const underWay = unanswered(result).filter(
      ({ atS, heldS }) => atS > crashAtS && atS - heldS < crashAtS,
    );
    assert.ok(underWay.length > 0, 'no transaction was under way when the leader ended');
    const [crash] = result.faults.of('controller-crash');
    assert.ok(result.leaders.some(({ term }) => term > crash.leader!.term));
    assert.deepEqual(killedTasks(result, 0, 75), []);
    assert.ok(tasksRunningAt(result, 75) >= 10);
  });
});
