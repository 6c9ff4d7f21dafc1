import assert from 'node:assert/strict';
import { test } from 'node:test';
import { answerToWire, type Order } from '#wire';
import { forgetOrder, SampleFleet, startOrder, stopOrder, TIMES } from './sample-workers.js';

const IMAGE_S = 5;

async function startFleet(jobs: Parameters<SampleFleet['upload']> = [{}]) {
  const fleet = await new SampleFleet().startControllers();
  fleet.upload(...jobs);
  const worker = await fleet.startWorker();
  const [controller] = fleet.controllers;
  return { fleet, worker, controller, world: fleet.world };
}

function describeOutcomes(
  tasks: { state: string; cause: string | null; checkpointed: boolean }[],
): string[] {
  return tasks.map(
    ({ state, cause, checkpointed }) => `${state} ${cause ?? ''}${checkpointed ? ' saved' : ''}`,
  );
}

test('a worker sends heartbeats at the configured interval, and sooner after a change', async () => {
  const { world, controller, worker } = await startFleet();
  await world.run(60);
  const spacings = controller.heartbeats
    .slice(2)
    .map((r, i) => r.atS - controller.heartbeats[i + 1].atS);
  assert.ok(spacings.every((s) => s > 0.7 && s < 1.3));
  assert.ok(Math.max(...spacings) - Math.min(...spacings) > 0.3);
  const sequences = controller.heartbeats.map((r) => r.sequence);
  assert.ok(sequences.every((sequence, i) => i === 0 || sequence > sequences[i - 1]));
  const before = controller.heartbeats.length;
  for (let i = 0; i < 8; i++) {
    worker.giveNotice(100 + i);
    await world.run(0.25);
  }
  const sentCount = controller.heartbeats.length - before;
  assert.ok(sentCount >= 4 && sentCount <= 5, `${sentCount} heartbeats in 2 s`);
  assert.ok(Math.abs((controller.heartbeats.at(-1)!.noticeS ?? 0) - 106) < 2);
});

test('two tasks share one image fetch and run; a task with a stored result exits at once if started again', async () => {
  const { fleet, world, controller } = await startFleet([{ tasks: 2 }]);
  controller.orders = [startOrder(0), startOrder(1)];
  await world.run(IMAGE_S - 1);
  assert.deepEqual(describeOutcomes([controller.findTask(0)!, controller.findTask(1)!]), [
    'fetching ',
    'fetching ',
  ]);
  await world.run(4);
  assert.equal(controller.findTask()!.state, 'running');
  await world.run(10);
  assert.equal(controller.findTask()!.cause, 'done');
  assert.ok(fleet.storage.isComplete('j-000001'));
  controller.orders = [startOrder(0, 2)];
  await world.run(1.5);
  const secondAttempt = controller.heartbeats.at(-1)!.tasks.find((task) => task.attempt === 2);
  assert.deepEqual(describeOutcomes([secondAttempt!]), ['exited done']);
});

/** Commands sent in one request, and the task states expected in its answer. */
const COMMANDS: [name: string, jobs: Parameters<SampleFleet['upload']>, Order[], string[]][] = [
  ['an unknown task is refused', [{}], [startOrder(1)], ['exited unknown']],
  [
    'a task with an attempt that has not exited is refused',
    [{}],
    [startOrder(), startOrder(0, 2)],
    ['fetching ', 'exited busy'],
  ],
  ['a repeated start does nothing', [{}], [startOrder(), startOrder()], ['fetching ']],
  [
    'a task that fetches its image occupies capacity',
    [{ tasks: 2, memory: 33 }],
    [startOrder(0), startOrder(1)],
    ['fetching ', 'exited no_room'],
  ],
  [
    'a task that fetches its image stops at once',
    [{}],
    [startOrder(), stopOrder(60)],
    ['exited stopped'],
  ],
  ['an exited task can be forgotten', [{}], [startOrder(), stopOrder(0), forgetOrder()], []],
  [
    'a forgotten attempt can be started again',
    [{}],
    [startOrder(), stopOrder(0), forgetOrder(), startOrder()],
    ['fetching '],
  ],
  [
    'a task that has not exited is not forgotten',
    [{}],
    [startOrder(), forgetOrder()],
    ['fetching '],
  ],
  [
    'an exited attempt does not start again',
    [{}],
    [startOrder(), stopOrder(0), startOrder()],
    ['exited stopped'],
  ],
];

for (const [name, jobs, orders, expected] of COMMANDS) {
  test(`commands: ${name}`, async () => {
    const { fleet, worker } = await startFleet(jobs);
    const { tasks } = await fleet.sendOrders(worker, orders);
    assert.deepEqual(describeOutcomes(tasks), expected);
  });
}

test('a stopped task writes a checkpoint if the grace period allows, and a second stop interrupts it', async () => {
  const job = { checkpointS: 4, saveS: 3 };
  const { fleet, world, worker, controller } = await startFleet([job, { runS: [1000] }]);
  const runAttempt = async (attempt: number, stops: Order[]) => {
    await fleet.sendOrders(worker, [startOrder(0, attempt)]);
    await world.run(IMAGE_S + 7);
    for (const order of stops) await fleet.sendOrders(worker, [order]);
    await world.run(4.5);
    const heartbeat = controller.heartbeats.at(-1)!.tasks.find((task) => task.attempt === attempt);
    return describeOutcomes([heartbeat!])[0];
  };
  const progress = () => fleet.storage.checkpointedProgress({ job: 'j-000001', index: 0 });
  assert.equal(await runAttempt(1, [stopOrder(2, 0, 1)]), 'exited stopped');
  assert.equal(progress(), 4);
  assert.equal(await runAttempt(2, [stopOrder(3, 0, 2)]), 'exited stopped saved');
  assert.ok(progress() > 10 && progress() % 4 !== 0);
  const before = progress();
  assert.equal(await runAttempt(3, [stopOrder(3, 0, 3), stopOrder(0, 0, 3)]), 'exited stopped');
  assert.ok(progress() > before && progress() % 4 === 0);
});

test('answers with a lower fencing token or none are ignored and do not renew the lease', async () => {
  const { fleet, world, controller, worker } = await startFleet();
  controller.orders = [startOrder()];
  await world.run(3);
  assert.equal(controller.heartbeats.at(-1)!.fencingToken, 5);
  controller.reply = () => ({ status: 200, body: answerToWire(4, [stopOrder(0)]) });
  await world.run(4);
  assert.equal(controller.heartbeats.at(-1)!.tasks.length, 1);
  controller.reply = () => ({ status: 200, body: { orders: [] } });
  await world.run(TIMES.leaseS - 3);
  const last = controller.heartbeats.at(-1)!;
  assert.deepEqual([last.agentEpoch, last.tasks.length], [2, 0]);
  assert.deepEqual(fleet.leaveCauses(), ['0:killed']);
  const sendStart = async (fencingToken: number, agentEpoch: number) =>
    (await fleet.sendOrders(worker, [startOrder()], fencingToken, agentEpoch)).status;
  assert.deepEqual(
    [await sendStart(4, 2), await sendStart(5, 1), await sendStart(5, 2)],
    [409, 409, 200],
  );
});

test('a worker follows a redirect within half a second, and tries the next node after other failures', async () => {
  const { fleet, world } = await startFleet();
  const [first, second] = fleet.controllers;
  const redirect = (overseer?: string) => () => ({ status: 421, body: { overseer } });
  first.reply = redirect('c-1');
  const worker = await fleet.startWorker(1, 2);
  const heartbeatsTo = (controller: typeof first) =>
    controller.heartbeats.filter((heartbeat) => heartbeat.machine === worker.facts.name);
  await world.run(3);
  assert.ok(heartbeatsTo(second).length > 1);
  second.reply = redirect('c-0');
  first.reply = null;
  await world.run(4);
  const [last, next] = [heartbeatsTo(second).at(-1)!, heartbeatsTo(first).at(-1)!];
  assert.ok(heartbeatsTo(second).length < 6 && next.atS > last.atS);
  for (const reply of [redirect(), redirect('c-0'), () => ({ status: 503 })]) {
    const seen = heartbeatsTo(second).length;
    second.reply = null;
    first.reply = reply;
    await world.run(2.5);
    assert.ok(heartbeatsTo(second).length > seen);
    const lastAtFirst = heartbeatsTo(first).at(-1)!.atS;
    assert.ok(heartbeatsTo(second)[seen].atS - lastAtFirst > 0.99);
    first.reply = null;
    second.reply = redirect('c-0');
    await world.run(2.5);
  }
});

test('a worker that resumes within its lease executes delayed commands; after its lease, tasks are killed', async () => {
  const { fleet, world, worker } = await startFleet([{}, { runS: [20] }]);
  await fleet.sendOrders(worker, [startOrder()]);
  await world.run(IMAGE_S + 2);
  worker.hang();
  const late = fleet.postOrders(worker, [stopOrder(0)]).catch(() => null);
  await world.run(3);
  assert.deepEqual(fleet.leaveCauses(), []);
  worker.resume();
  await world.run(0.1);
  assert.deepEqual(fleet.leaveCauses(), ['0:stopped']);
  await fleet.world.runUntilComplete(late);
  await fleet.sendOrders(worker, [startOrder(0, 2)]);
  worker.hang();
  await world.run(TIMES.leaseS + 2);
  assert.deepEqual(fleet.leaveCauses(), ['0:stopped', '0:killed']);
  worker.resume();
  assert.equal((await fleet.sendOrders(worker, [startOrder()], 5, 1)).status, 409);
});

test('a worker blocked inbound still sends heartbeats; one with blocked heartbeats still gets commands', async () => {
  const { fleet, world, controller, worker } = await startFleet();
  worker.setInboundBlocked(true);
  await assert.rejects(fleet.sendOrders(worker, [startOrder()]));
  const heartbeatsBefore = controller.heartbeats.length;
  controller.orders = [startOrder()];
  await world.run(TIMES.leaseS);
  assert.ok(controller.heartbeats.length > heartbeatsBefore);
  assert.equal(controller.heartbeats.at(-1)!.tasks.length, 0);
  worker.setInboundBlocked(false);
  await world.run(6);
  worker.setHeartbeatsBlocked(true);
  const before = controller.heartbeats.length;
  assert.equal((await fleet.sendOrders(worker, [startOrder()], 5, 2)).status, 200);
  await world.run(6);
  assert.equal(controller.heartbeats.length, before);
});

test('copies of heartbeats arrive after a delay, or once a worker has accepted an answer of a new leader', async () => {
  const { fleet, world, controller, worker } = await startFleet();
  fleet.lateHeartbeats.begin({ share: 1, delayS: [20, 20] });
  await world.run(1);
  fleet.lateHeartbeats.end();
  const lastCopiedSequence = controller.heartbeats.at(-1)!.sequence;
  await world.run(21);
  assert.equal(
    controller.heartbeats.filter((heartbeat) => heartbeat.sequence === lastCopiedSequence).length,
    2,
  );
  fleet.lateHeartbeats.begin({ share: 1, forNextLeader: true });
  await world.run(2);
  fleet.lateHeartbeats.end();
  // The copies still arrive after their machine is gone.
  worker.powerOff();
  await world.run(10);
  const [, nextLeader] = fleet.controllers;
  controller.reply = () => ({ status: 421, body: { overseer: 'c-1' } });
  await fleet.startWorker(1, 2);
  await world.run(3);
  const late = nextLeader.heartbeats.filter((heartbeat) => heartbeat.machine === worker.facts.name);
  assert.ok(late.length >= 2 && late.every((heartbeat) => heartbeat.sequence > lastCopiedSequence));
});

test('a delayed command runs once if its fencing token and agent epoch still match', async () => {
  const { fleet, world, controller, worker } = await startFleet([{ tasks: 2 }]);
  fleet.lateCommands.begin({ share: 1, delayS: [8, 8] });
  await assert.rejects(fleet.sendOrders(worker, [startOrder(0)]));
  await world.run(5);
  assert.equal(worker.nextHeartbeat().tasks.length, 1);
  const superseded = assert.rejects(fleet.postOrders(worker, [startOrder(1)]));
  await world.run(0.1);
  fleet.lateCommands.end();
  controller.fencingToken = 6;
  await fleet.sendOrders(worker, [], 6);
  await world.runUntilComplete(superseded);
  await world.run(10);
  assert.equal(worker.nextHeartbeat().tasks.length, 1);
});

test('a repeated command starts a forgotten attempt again unless a higher fencing token was seen', async () => {
  const { fleet, world, worker } = await startFleet([{ tasks: 2 }]);
  const activeIndexes = () => worker.nextHeartbeat().tasks.map(({ index }) => index);
  fleet.repeatedCommands.begin({ share: 1, delayS: [3, 3] });
  await fleet.sendOrders(worker, [startOrder(0)]);
  fleet.repeatedCommands.end();
  await fleet.sendOrders(worker, [stopOrder(0), forgetOrder()]);
  await world.run(4);
  assert.deepEqual(activeIndexes(), [0]);
  fleet.repeatedCommands.begin({ share: 1, delayS: [3, 3] });
  await fleet.sendOrders(worker, [startOrder(1)]);
  await fleet.sendOrders(worker, [stopOrder(0, 1), forgetOrder(1)], 6);
  await world.run(4);
  assert.deepEqual(activeIndexes(), [0]);
  const copies = world.events.filter(({ kind }) => kind === 'command-repeated');
  assert.deepEqual(
    copies.map((copy) => copy.kind === 'command-repeated' && copy.admitted),
    [true, false, true],
  );
});

test('tasks of a faulty job fail, and tasks on a slow machine take longer', async () => {
  const { fleet, world, controller, worker } = await startFleet([{}, { failsAfterS: 2 }]);
  await fleet.sendOrders(worker, [startOrder()]);
  await world.run(IMAGE_S + 3.5);
  assert.equal(controller.findTask()!.cause, 'error');
  fleet.upload({ id: 'j-000002' });
  worker.setSpeed(0.5);
  await fleet.sendOrders(worker, [{ ...startOrder(), job: 'j-000002' }]);
  await world.run(19);
  assert.ok(!fleet.storage.isComplete('j-000002'));
  await world.run(2);
  assert.ok(fleet.storage.isComplete('j-000002'));
});
