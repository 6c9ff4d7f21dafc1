import assert from 'node:assert/strict';
import { test } from 'node:test';
import { answerToWire, type Order } from '#wire';
import { forget, SampleFleet, start, stop, TIMES } from './sample-workers.js';

const IMAGE_S = 5;

async function aFleet(jobs: Parameters<SampleFleet['upload']> = [{}]) {
  const fleet = await new SampleFleet().begin();
  fleet.upload(...jobs);
  const worker = await fleet.worker();
  const [controller] = fleet.controllers;
  return { fleet, worker, controller, world: fleet.world };
}

function outcome(
  tasks: { state: string; cause: string | null; checkpointed: boolean }[],
): string[] {
  return tasks.map(
    ({ state, cause, checkpointed }) => `${state} ${cause ?? ''}${checkpointed ? ' saved' : ''}`,
  );
}

test('a worker sends heartbeats by its interval, and sooner when something changes', async () => {
  const { world, controller, worker } = await aFleet();
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
  const more = controller.heartbeats.length - before;
  assert.ok(more >= 4 && more <= 5, `${more} heartbeats in 2 s`);
  assert.ok(Math.abs((controller.heartbeats.at(-1)!.noticeS ?? 0) - 106) < 2);
});

test('a task fetches its image once, runs, and its result is kept', async () => {
  const { fleet, world, controller } = await aFleet([{ tasks: 2 }]);
  controller.orders = [start(0), start(1)];
  await world.run(IMAGE_S - 1);
  assert.deepEqual(outcome([controller.task(0)!, controller.task(1)!]), ['fetching ', 'fetching ']);
  await world.run(4);
  assert.equal(controller.task()!.state, 'running');
  await world.run(10);
  assert.equal(controller.task()!.cause, 'done');
  assert.ok(fleet.storage.isComplete('j-000001'));
  controller.orders = [start(0, 2)];
  await world.run(1.5);
  const again = controller.heartbeats.at(-1)!.tasks.find((task) => task.attempt === 2);
  assert.deepEqual(outcome([again!]), ['exited done']);
});

/** Orders one after the other, and what the heartbeat after the last one says. */
const COMMANDS: [name: string, jobs: Parameters<SampleFleet['upload']>, Order[], string[]][] = [
  ['an unknown task is refused', [{}], [start(1)], ['exited unknown']],
  ['a task that is there is refused', [{}], [start(), start(0, 2)], ['fetching ', 'exited busy']],
  ['a repeated start does nothing', [{}], [start(), start()], ['fetching ']],
  [
    'fetching tasks take room',
    [{ tasks: 2, memory: 33 }],
    [start(0), start(1)],
    ['fetching ', 'exited no_room'],
  ],
  ['a fetching task stops at once', [{}], [start(), stop(60)], ['exited stopped']],
  ['an exited task can be forgotten', [{}], [start(), stop(0), forget()], []],
  ['a forgotten attempt starts anew', [{}], [start(), stop(0), forget(), start()], ['fetching ']],
  ['no other task is forgotten', [{}], [start(), forget()], ['fetching ']],
  ['an exited attempt does not start', [{}], [start(), stop(0), start()], ['exited stopped']],
];

for (const [name, jobs, orders, expected] of COMMANDS) {
  test(`commands: ${name}`, async () => {
    const { fleet, worker } = await aFleet(jobs);
    const { tasks } = await fleet.order(worker, orders);
    assert.deepEqual(outcome(tasks), expected);
  });
}

test('a running task writes a checkpoint if it can and has the time, and a second stop ends that', async () => {
  const job = { checkpointS: 4, saveS: 3 };
  const { fleet, world, worker, controller } = await aFleet([job, { runS: [1000] }]);
  const runAttempt = async (attempt: number, stops: Order[]) => {
    await fleet.order(worker, [start(0, attempt)]);
    await world.run(IMAGE_S + 7);
    for (const order of stops) await fleet.order(worker, [order]);
    await world.run(4.5);
    const heartbeat = controller.heartbeats.at(-1)!.tasks.find((task) => task.attempt === attempt);
    return outcome([heartbeat!])[0];
  };
  const progress = () => fleet.storage.checkpointedProgress({ job: 'j-000001', index: 0 });
  assert.equal(await runAttempt(1, [stop(2, 0, 1)]), 'exited stopped');
  assert.equal(progress(), 4);
  assert.equal(await runAttempt(2, [stop(3, 0, 2)]), 'exited stopped saved');
  assert.ok(progress() > 10 && progress() % 4 !== 0);
  const before = progress();
  assert.equal(await runAttempt(3, [stop(3, 0, 3), stop(0, 0, 3)]), 'exited stopped');
  assert.ok(progress() > before && progress() % 4 === 0);
});

test('answers with a lower fencing token or none are dropped and do not renew the lease', async () => {
  const { fleet, world, controller, worker } = await aFleet();
  controller.orders = [start()];
  await world.run(3);
  assert.equal(controller.heartbeats.at(-1)!.fencingToken, 5);
  controller.reply = () => ({ status: 200, body: answerToWire(4, [stop(0)]) });
  await world.run(4);
  assert.equal(controller.heartbeats.at(-1)!.tasks.length, 1);
  controller.reply = () => ({ status: 200, body: { orders: [] } });
  await world.run(TIMES.leaseS - 3);
  const last = controller.heartbeats.at(-1)!;
  assert.deepEqual([last.agentEpoch, last.tasks.length], [2, 0]);
  assert.deepEqual(fleet.leaves(), ['0:killed']);
  const refused = async (fencingToken: number, agentEpoch: number) =>
    (await fleet.order(worker, [start()], fencingToken, agentEpoch)).status;
  assert.deepEqual(
    [await refused(4, 2), await refused(5, 1), await refused(5, 2)],
    [409, 409, 200],
  );
});

test('a redirection is followed within half a second, other failures lead to the next node', async () => {
  const { fleet, world } = await aFleet();
  const [first, second] = fleet.controllers;
  const redirect = (overseer?: string) => () => ({ status: 421, body: { overseer } });
  first.reply = redirect('c-1');
  const worker = await fleet.worker(1, 2);
  const from = (controller: typeof first) =>
    controller.heartbeats.filter((heartbeat) => heartbeat.machine === worker.facts.name);
  await world.run(3);
  assert.ok(from(second).length > 1);
  second.reply = redirect('c-0');
  first.reply = null;
  await world.run(4);
  const [last, next] = [from(second).at(-1)!, from(first).at(-1)!];
  assert.ok(from(second).length < 6 && next.atS > last.atS);
  for (const reply of [redirect(), redirect('c-0'), () => ({ status: 503 })]) {
    const seen = from(second).length;
    second.reply = null;
    first.reply = reply;
    await world.run(2.5);
    assert.ok(from(second).length > seen);
    const lastAtFirst = from(first).at(-1)!.atS;
    assert.ok(from(second)[seen].atS - lastAtFirst > 0.99);
    first.reply = null;
    second.reply = redirect('c-0');
    await world.run(2.5);
  }
});

test('a hanging worker goes on within its lease, and what waited runs then', async () => {
  const { fleet, world, worker } = await aFleet([{}, { runS: [20] }]);
  await fleet.order(worker, [start()]);
  await world.run(IMAGE_S + 2);
  worker.hang();
  const late = fleet.post(worker, [stop(0)]).catch(() => null);
  await world.run(3);
  assert.deepEqual(fleet.leaves(), []);
  worker.resume();
  await world.run(0.1);
  assert.deepEqual(fleet.leaves(), ['0:stopped']);
  await fleet.world.finish(late);
  await fleet.order(worker, [start(0, 2)]);
  worker.hang();
  await world.run(TIMES.leaseS + 2);
  assert.deepEqual(fleet.leaves(), ['0:stopped', '0:killed']);
  worker.resume();
  assert.equal((await fleet.order(worker, [start()], 5, 1)).status, 409);
});

test('a deaf worker sends heartbeats and gets no answers or commands, a mute one gets commands only', async () => {
  const { fleet, world, controller, worker } = await aFleet();
  worker.setDeaf(true);
  await assert.rejects(fleet.order(worker, [start()]));
  const heartbeatsBefore = controller.heartbeats.length;
  controller.orders = [start()];
  await world.run(TIMES.leaseS);
  assert.ok(controller.heartbeats.length > heartbeatsBefore);
  assert.equal(controller.heartbeats.at(-1)!.tasks.length, 0);
  worker.setDeaf(false);
  await world.run(6);
  worker.setMute(true);
  const before = controller.heartbeats.length;
  assert.equal((await fleet.order(worker, [start()], 5, 2)).status, 200);
  await world.run(6);
  assert.equal(controller.heartbeats.length, before);
});

test('copies of heartbeats arrive late, or when a new leader has answered', async () => {
  const { fleet, world, controller, worker } = await aFleet();
  fleet.lateHeartbeats.begin({ share: 1, delayS: [20, 20] });
  await world.run(1);
  fleet.lateHeartbeats.end();
  const copied = controller.heartbeats.at(-1)!.sequence;
  await world.run(21);
  assert.equal(
    controller.heartbeats.filter((heartbeat) => heartbeat.sequence === copied).length,
    2,
  );
  fleet.lateHeartbeats.begin({ share: 1, forNextLeader: true });
  await world.run(2);
  fleet.lateHeartbeats.end();
  // The copies arrive although their machine is gone.
  worker.powerOff();
  await world.run(10);
  const [, nextLeader] = fleet.controllers;
  controller.reply = () => ({ status: 421, body: { overseer: 'c-1' } });
  await fleet.worker(1, 2);
  await world.run(3);
  const late = nextLeader.heartbeats.filter((heartbeat) => heartbeat.machine === worker.facts.name);
  assert.ok(late.length >= 2 && late.every((heartbeat) => heartbeat.sequence > copied));
});

test('a command that is held up runs once, if fencing token and agent epoch still match', async () => {
  const { fleet, world, controller, worker } = await aFleet([{ tasks: 2 }]);
  fleet.lateCommands.begin({ share: 1, delayS: [8, 8] });
  await assert.rejects(fleet.order(worker, [start(0)]));
  await world.run(5);
  assert.equal(worker.nextHeartbeat().tasks.length, 1);
  const superseded = assert.rejects(fleet.post(worker, [start(1)]));
  await world.run(0.1);
  fleet.lateCommands.end();
  controller.fencingToken = 6;
  await fleet.order(worker, [], 6);
  await world.finish(superseded);
  await world.run(10);
  assert.equal(worker.nextHeartbeat().tasks.length, 1);
});

test('a faulty job or machine fails its tasks, a slow machine takes longer', async () => {
  const { fleet, world, controller, worker } = await aFleet([{}, { failsAfterS: 2 }]);
  await fleet.order(worker, [start()]);
  await world.run(IMAGE_S + 3.5);
  assert.equal(controller.task()!.cause, 'error');
  fleet.upload({ id: 'j-000002' });
  worker.setSpeed(0.5);
  await fleet.order(worker, [{ ...start(), job: 'j-000002' }]);
  await world.run(19);
  assert.ok(!fleet.storage.isComplete('j-000002'));
  await world.run(2);
  assert.ok(fleet.storage.isComplete('j-000002'));
});
