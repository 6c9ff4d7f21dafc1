import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CloudClient, nodeRuntime } from '#wire';
import { CapacityPlanner } from '#core';
import { CloudDuty, makeLog, type PartOwner } from '#controller';
import { aBook, aJob, aMachine, STD } from './samples.js';
import { FREE_LOOPBACK_PORT, serveCbor } from './standins/index.js';

const TERMS = new Map([['red', { cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }]]);
const AIMS = [{ class: 'c', kind: 'wait', withinS: 4 }];
const SETTINGS = { reserveSigmas: 0, idleHoldS: 60, memoryS: 120 };

function aPlanner(book = aBook()): CapacityPlanner {
  return new CapacityPlanner({ fleet: book, settings: SETTINGS, objectives: AIMS, teams: TERMS });
}

function rented(planner: CapacityPlanner, now: number): number {
  return planner.plan(now).rent.reduce((sum, r) => sum + r.count, 0);
}

test('replicas that come faster than they end are rented for ahead, and only those', () => {
  // Guards against a growing fleet that is always one boot behind: in the first minutes replicas
  // waited for a boot each time, since only the swing of arrivals was kept in reserve.
  const service = aJob({ kind: 'service', tasks: 2 });
  const grows = aPlanner();
  for (let t = 0; t < 120; t++) grows.jobArrived(service, t);
  const steady = aPlanner();
  for (let t = 0; t < 120; t++) {
    steady.jobArrived(service, t);
    steady.jobEnded(service, t);
  }
  const batch = aPlanner();
  for (let t = 0; t < 120; t++) batch.jobArrived(aJob({ tasks: 2 }), t);
  assert.ok(rented(grows, 120) > 10);
  assert.equal(rented(steady, 120), 0);
  assert.equal(rented(batch, 120), 0);
  // After a take-over it is not known what has ended, and all that stands there is no growth.
  grows.assumeSteady(120);
  assert.equal(rented(grows, 120), 0);
});

test('the reserve of a class goes soon after nothing more comes', () => {
  // Guards against a fleet that stays for minutes after the last job, since averages fade slowly.
  const planner = new CapacityPlanner({
    fleet: aBook(),
    settings: { ...SETTINGS, reserveSigmas: 2 },
    objectives: AIMS,
    teams: TERMS,
  });
  for (let t = 0; t < 240; t++) planner.jobArrived(aJob(), t);
  const during = rented(planner, 240);
  assert.ok(during >= 3);
  assert.ok(rented(planner, 240 + STD.bootS) <= during / 2);
});

test('an empty machine is held shorter once nothing more comes', () => {
  // Guards against gangs that wait for a boot since whole machines were given back between them, and
  // against machines that are kept for nobody after the last job.
  const goes = (lastAt: number) => {
    const book = aBook();
    const planner = aPlanner(book);
    planner.jobArrived(aJob(), lastAt);
    aMachine(book, 'n-1');
    return [25, 45, 65].map((t) => planner.plan(t).release.length);
  };
  assert.deepEqual(goes(24), [0, 0, 1]);
  assert.deepEqual(goes(0), [0, 1, 1]);
});

test('a boot that is late by what boots take at present is replaced', () => {
  // Guards against replicas that wait minutes for a machine that comes late or never, and against
  // renting all anew on days when every boot takes longer.
  const late = (boots: number[]) => {
    const book = aBook();
    const planner = aPlanner(book);
    boots.forEach((bootS, i) => planner.machineUp(aMachine(book, `n-${i}`, { bornAt: -bootS }), 0));
    for (const { name } of [...book.machines.values()]) book.removeMachine(name, 0);
    book.machines.register(
      { name: 'n-90', addr: '', type: 'std', zone: 'a', spot: false },
      'booting',
      0,
    );
    book.addJob(aJob(), 0, 'accepted', 0);
    return [STD.bootS, 1.5 * STD.bootS, 3 * STD.bootS].map((age) => rented(planner, age));
  };
  assert.deepEqual(late([30, 31, 29, 120]), [0, 1, 1]);
  assert.deepEqual(late([45, 50, 44, 48]), [0, 0, 1]);
});

test('a machine is emptied only if its replicas find room beside their image', () => {
  // Guards against a fleet that ends as many machines with one replica each, and against replicas
  // that are moved to where they would wait for their image, or into room that is counted on.
  const emptied = (image: string, waiting: number, ranS: number) => {
    const book = aBook();
    const machines = ['n-1', 'n-2'].map((name) => aMachine(book, name));
    const job = book.addJob(aJob({ kind: 'service', tasks: 3 }), 0, 'accepted', 0);
    [0, 0, 1].forEach((at, i) => {
      const a = book.assignments.assign(job, i, machines[at], book.assignments.newAttempt(), 0);
      Object.assign(a, { told: true, recorded: true, reported: 'running', runningSince: 0 });
    });
    machines[0].images = new Map([[image, 5]]);
    book.addJob(aJob({ id: 'j-2', tasks: waiting }), 0, 'accepted', 0);
    const { consolidation } = aPlanner(book).plan(ranS);
    if (consolidation === null) return null;
    return [consolidation.machine.name, ...consolidation.moves.map((m) => m.to.name)];
  };
  assert.deepEqual(emptied('i', 1, 60), ['n-2', 'n-1']);
  assert.equal(emptied('other', 1, 60), null);
  assert.equal(emptied('i', 2, 60), null);
  assert.equal(emptied('i', 1, 5), null);
});

test('the rents of one plan do not wait for the answers to each other', async () => {
  // Guards against a fleet that is rented kind by kind: the last came seconds after the first.
  const counts = [40, 40, 60];
  const kinds = counts.map((count, i) => ({ type: 'std', zone: 'abc'[i], spot: false, count }));
  const calls = 4;
  const asked: number[] = [];
  let release = () => {};
  const all = new Promise<void>((resolve) => (release = resolve));
  const cloud = await serveCbor(nodeRuntime, FREE_LOOPBACK_PORT, async ({ method, path, body }) => {
    if (path === '/catalog') return { status: 200, body: { rigs: [] } };
    if (method === 'GET') return { status: 200, body: { hosts: [], more: false } };
    asked.push((body as { number: number }).number);
    // Nobody is answered before everybody has asked.
    if (asked.length === calls) release();
    await all;
    return { status: 503, body: { error: 'no capacity' } };
  });
  const book = aBook();
  book.machines.types.set(STD.name, STD);
  const stop = new AbortController();
  const refused: string[] = [];
  const owner = {
    book,
    term: { term: 1 },
    ready: true,
    first: true,
    startedAt: -1000,
    nudge: () => {},
    planner: {
      plan: () => ({ rent: refused.length === 0 ? kinds : [], release: [], consolidation: null }),
      rentalRefused: (r: { zone: string }) => {
        refused.push(r.zone);
        if (refused.length === calls) stop.abort();
      },
    },
  } as unknown as PartOwner;
  const client = new CloudClient(nodeRuntime, cloud.target, 60_000);
  const log = makeLog(nodeRuntime.clock, 'c-0', 'error');
  const duty = new CloudDuty({
    runtime: nodeRuntime,
    cloud: client,
    owner,
    name: 'c-0',
    rps: 100,
    listLagS: 1,
    reportS: 1,
    leaseS: 10,
    onTypes: async () => {},
    mayRent: () => true,
    mayRelease: () => true,
    log,
  });
  await duty.run(stop.signal);
  client.close();
  cloud.close();
  // What one call may ask for is bounded, and a full portion is no refusal of the rest.
  assert.deepEqual(
    asked.sort((x, y) => x - y),
    [10, 40, 40, 50],
  );
});
