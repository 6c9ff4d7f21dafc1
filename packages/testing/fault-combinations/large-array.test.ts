/** One array of very many short tasks, across a crash of the leader. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobKey, PROGRESS_PREFIX } from '#store';
import { aJob } from '../samples.js';
import { Cluster, SMALL_CLUSTER } from '../simulation/index.js';
import { describeViolation } from '../stand-ins/index.js';

const { state: LIMITS, workers } = SMALL_CLUSTER.deployment;
const SUBMITTED_S = 5;
const CRASH_S = 38;
/** From then on all machines are up and full. */
const FULL_S = 28;
const TASK_S = 4;
const ARRAY = aJob({ id: 'j-1', rank: 3, cpus: 0.25, gpus: 0, memory: 0.5, imageGb: 0.5 });

/** Plays an array of so many tasks until it is done. */
async function playArray(tasks: number) {
  const cluster = new Cluster(SMALL_CLUSTER, 5);
  const { world, timeline, state } = cluster;
  const job = { ...ARRAY, tasks };
  const program = { job, runS: Array<number>(tasks).fill(TASK_S), failsAfterS: null };
  const plan = { program, submitAtS: SUBMITTED_S, cancelAfterS: null, repeatAfterS: null };
  await cluster.start();
  cluster.users.start([plan]);
  let doneAtCrash = 0;
  world.schedule(CRASH_S, () => {
    doneAtCrash = timeline.of('task-completed').length;
    const leader = cluster.leadership.current()!.leader;
    cluster.controllers.find(({ name }) => name === leader)!.process.restart(1);
  });
  const isDone = () =>
    (state.store.get(jobKey(job.id))?.value as { phase: string } | undefined)?.phase === 'done';
  while (!isDone() && world.now < 600) await world.runUntil(world.now + 5);
  assert.ok(isDone(), 'the array is done');
  assert.deepEqual(world.uncaught, []);
  assert.deepEqual(cluster.checker.finish().map(describeViolation), []);
  return { cluster, doneAtCrash };
}

/** Applied transactions and their changes in a span of time, each a second. */
function stateUse({ timeline }: Cluster, fromS: number, untilS: number) {
  const applied = timeline
    .of('transaction')
    .filter((txn) => txn.applied && txn.atS > fromS && txn.atS <= untilS);
  const changes = applied.flatMap((txn) => txn.changes);
  const seconds = untilS - fromS;
  return {
    transactions: applied.length / seconds,
    changes: changes.length / seconds,
    all: changes,
  };
}

test("an array's records stay bounded whatever its size, and its progress survives a change of leader", async () => {
  const use = [];
  for (const tasks of [12_000, 24_000]) {
    const { cluster, doneAtCrash } = await playArray(tasks);
    const { transactions, changes, all } = stateUse(cluster, FULL_S, CRASH_S);
    assert.ok(doneAtCrash > 1000 && doneAtCrash < tasks, `${doneAtCrash} done at the crash`);
    assert.ok(changes <= LIMITS.write_rps, `${changes} changes a second`);
    use.push({ transactions, changes });
    const values = all.flatMap((change) => ('put' in change ? [change] : []));
    for (const { put, value } of values) {
      assert.ok(JSON.stringify(value).length <= LIMITS.value_kb * 1024, put);
    }
    assert.ok(values.some(({ put }) => put.startsWith(PROGRESS_PREFIX)));
    // A task runs again only if the crash found it on a machine, or just ended.
    const completed = cluster.timeline.of('task-completed').length;
    const started = cluster.timeline.of('task-started').length;
    const machines = cluster.timeline.of('machine-up').length;
    assert.equal(completed, tasks);
    const mayRepeat = machines * 124 * (1 + workers.report_s / TASK_S);
    assert.ok(started - tasks <= mayRepeat, `${started - tasks} starts too many`);
  }
  const [small, large] = use;
  assert.ok(large.changes <= 1.2 * small.changes + 1, JSON.stringify(use));
  assert.ok(large.transactions <= 1.2 * small.transactions + 1, JSON.stringify(use));
});
