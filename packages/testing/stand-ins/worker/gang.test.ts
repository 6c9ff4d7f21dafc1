import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Job } from '#wire';
import { SampleFleet, startOrder, stopOrder, TIMES } from './sample-workers.js';
import type { Worker } from './worker.js';

const IMAGE_S = 5;
const GANG = { job: 'j-000001', index: 'gang' as const };

/** Starts three workers, the second at half speed, and uploads a gang of three tasks. */
async function startGang(overrides: Partial<Job> = {}, runS = 30) {
  const fleet = await new SampleFleet().startControllers();
  fleet.upload(
    { kind: 'gang', tasks: 3, checkpointS: 4, saveS: 2, ...overrides },
    { runS: [runS] },
  );
  const workers = [
    await fleet.startWorker(1),
    await fleet.startWorker(0.5),
    await fleet.startWorker(1),
  ];
  const states = () => workers.map((worker) => worker.nextHeartbeat().tasks.at(-1)?.state);
  const startAll = async (attempt = 1) => {
    for (const [index, worker] of workers.entries()) {
      await fleet.sendOrders(worker, [startOrder(index, attempt)]);
    }
    await fleet.world.run(IMAGE_S + 0.5);
  };
  const stopTask = (index: number, graceS: number) =>
    fleet.sendOrders(workers[index], [stopOrder(graceS, index)]);
  const checkpointedS = () => fleet.storage.checkpointedProgress(GANG);
  return { fleet, world: fleet.world, workers, states, startAll, stopTask, checkpointedS };
}

test('the tasks of a gang start together, run at the speed of the slowest machine and complete together', async () => {
  const { fleet, world, workers, states, startAll } = await startGang();
  await fleet.sendOrders(workers[0], [startOrder(0)]);
  await world.run(IMAGE_S + 20);
  assert.deepEqual(states(), ['waiting', undefined, undefined]);
  await startAll();
  assert.deepEqual(states(), ['running', 'running', 'running']);
  await world.run(58);
  assert.deepEqual(fleet.leaveCauses(), []);
  await world.run(3);
  assert.deepEqual(fleet.leaveCauses().sort(), ['0:done', '1:done', '2:done']);
  assert.ok(fleet.storage.isComplete('j-000001'));
});

test('a task exits if its gang is incomplete for too long, and a replacement for a lost task joins its gang', async () => {
  const { fleet, world, workers, states, startAll } = await startGang();
  await fleet.sendOrders(workers[0], [startOrder(0)]);
  await world.run(IMAGE_S + TIMES.gangWaitS + 1);
  assert.deepEqual(fleet.leaveCauses(), ['0:alone']);
  await startAll(2);
  assert.deepEqual(states(), ['running', 'running', 'running']);
  const other = await startGang();
  await other.fleet.sendOrders(other.workers[0], [startOrder(0)]);
  await other.fleet.sendOrders(other.workers[1], [startOrder(1)]);
  await other.world.run(IMAGE_S + 1);
  other.workers[0].powerOff();
  const replacement = await other.fleet.startWorker();
  await other.fleet.sendOrders(replacement, [startOrder(0)]);
  await other.fleet.sendOrders(other.workers[2], [startOrder(2)]);
  await other.world.run(IMAGE_S + 1);
  assert.equal(replacement.nextHeartbeat().tasks[0].state, 'running');
});

const LOSSES: [name: string, lose: (worker: Worker) => void][] = [
  ['is lost', (worker) => worker.powerOff()],
  ['hangs', (worker) => worker.hang()],
];
for (const [name, lose] of LOSSES) {
  test(`when a machine ${name}, the other tasks exit and only checkpointed progress is kept`, async () => {
    const { fleet, world, workers, startAll, checkpointedS } = await startGang();
    await startAll();
    await world.run(10);
    lose(workers[2]);
    await world.run(TIMES.gangPeerS * 0.25);
    assert.ok(!fleet.leaveCauses().some((leave) => leave.endsWith('peers')));
    await world.run(TIMES.gangPeerS);
    const noticed = fleet.leaveCauses().filter((leave) => leave.endsWith('peers'));
    assert.deepEqual(noticed.sort(), ['0:peers', '1:peers']);
    assert.equal(checkpointedS(), 4);
  });
}

test('a short hang of a machine delays a gang by its duration, and no task exits', async () => {
  const { fleet, world, workers, startAll } = await startGang();
  await startAll();
  workers[0].hang();
  await world.run(2);
  workers[0].resume();
  await world.run(59);
  assert.deepEqual(fleet.leaveCauses(), []);
  await world.run(4);
  assert.equal(fleet.leaveCauses().length, 3);
});

test('a gang writes a checkpoint if all tasks are told to stop in time', async () => {
  const { fleet, world, states, startAll, stopTask, checkpointedS } = await startGang();
  await startAll();
  await world.run(10);
  await stopTask(0, 2);
  assert.deepEqual(states(), ['saving', 'running', 'running']);
  await world.run(3);
  await stopTask(1, 2);
  await stopTask(2, 5);
  assert.deepEqual(states(), ['exited', 'saving', 'saving']);
  assert.ok(checkpointedS() > 5 && checkpointedS() < 5.6);
  await world.run(2.1);
  assert.deepEqual(fleet.leaveCauses(), ['0:stopped', '1:stopped', '2:stopped']);
  await startAll(2);
  await world.run((30 - checkpointedS()) / 0.5 + 1);
  assert.equal(fleet.leaveCauses().filter((leave) => leave.endsWith('done')).length, 3);
});

test('a gang writes no checkpoint if a task is told to stop too late or with too short a grace period', async () => {
  const late = await startGang();
  await late.startAll();
  await late.world.run(10);
  await late.stopTask(0, 2);
  await late.stopTask(1, 2);
  await late.world.run(TIMES.gangPeerS + 0.1);
  assert.deepEqual(late.fleet.leaveCauses().sort(), ['0:stopped', '1:stopped', '2:peers']);
  assert.equal(late.checkpointedS(), 4);
  const short = await startGang();
  await short.startAll();
  await short.world.run(10);
  await short.stopTask(0, 2);
  await short.stopTask(1, 1);
  await short.world.run(TIMES.gangPeerS + 0.1);
  assert.deepEqual(short.fleet.leaveCauses().sort(), ['0:peers', '1:stopped', '2:peers']);
  assert.equal(short.checkpointedS(), 4);
});

test('a gang without checkpoints loses its progress when it is stopped', async () => {
  const { fleet, world, startAll, stopTask, checkpointedS } = await startGang({ checkpointS: 0 });
  await startAll();
  await world.run(10);
  await stopTask(0, 60);
  assert.deepEqual(fleet.leaveCauses(), ['0:stopped']);
  await world.run(TIMES.gangPeerS + 0.1);
  assert.equal(fleet.leaveCauses().length, 3);
  assert.equal(checkpointedS(), 0);
});
