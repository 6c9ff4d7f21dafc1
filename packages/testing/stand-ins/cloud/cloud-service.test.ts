import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CloudClient, type ListedMachine, type ProvisionOutcome } from '#wire';
import { SampleWorld } from '../sample-world.js';
import { STANDARD_TYPE } from '../../samples.js';
import { QUICK_BOOTS, USUAL_BOOTS } from './boot-times.js';
import type { CapacityLimit } from './capacity.js';
import { CloudService } from './cloud-service.js';

const SERVICE = { host: '10.2.0.2', port: 8443 };
const LAG_S = 4;

async function startCloud(capacity: CapacityLimit[] = []) {
  const world = new SampleWorld();
  const hostingCalls: string[] = [];
  const hosting = {
    addressOf: (number: number) => ({ host: `10.1.0.${number}`, port: 9000 }),
    powerOn: ({ name }: { name: string }) => hostingCalls.push(`on ${name}`),
    powerOff: ({ name }: { name: string }) => hostingCalls.push(`off ${name}`),
    giveNotice: ({ name }: { name: string }, noticeS: number) =>
      hostingCalls.push(`notice ${name} ${noticeS}`),
  };
  const options = { types: [STANDARD_TYPE], capacity, rps: 20, listLagS: LAG_S };
  const cloud = new CloudService(world.createRuntime(SERVICE.host, 'cloud'), options, hosting);
  await world.runUntilComplete(cloud.listen(SERVICE));
  const client = new CloudClient(
    world.createRuntime('10.0.0.1'),
    `${SERVICE.host}:${SERVICE.port}`,
    3000,
  );
  const provision = (request: string, count: number, spot = false) =>
    world.runUntilComplete(client.provision(request, { type: 'std', zone: 'a', spot, count }));
  const list = async () => (await world.runUntilComplete(client.list(null))).machines;
  return { world, cloud, client, hostingCalls, provision, list };
}

function provisioned(outcome: ProvisionOutcome): string[] {
  assert.ok(typeof outcome === 'object');
  return outcome.machines;
}

test('a scale-out is filled up to the capacity, and repeating it provisions nothing more', async () => {
  const { provision } = await startCloud([{ zone: 'a', spot: false, machines: 3 }]);
  const first = provisioned(await provision('r-1', 2));
  assert.deepEqual(first, ['n-000001', 'n-000002']);
  assert.deepEqual(provisioned(await provision('r-1', 2)), first);
  assert.equal(provisioned(await provision('r-2', 5)).length, 1);
  assert.equal(await provision('r-3', 1), 'no-capacity');
  assert.equal(provisioned(await provision('r-3', 1, true)).length, 1);
});

test('spot prices vary by up to a third, and nothing else of a machine type changes', async () => {
  const { world, client } = await startCloud();
  for (let i = 0; i < 20; i++) {
    const [type] = await world.runUntilComplete(client.catalog());
    assert.ok(Math.abs(type.spotPrice / STANDARD_TYPE.spotPrice - 1) <= 1 / 3);
    assert.deepEqual({ ...type, spotPrice: STANDARD_TYPE.spotPrice }, STANDARD_TYPE);
    await world.run(61);
  }
});

test('machines boot as the boot profile says, and some never come up', async () => {
  const { world, cloud, hostingCalls, provision, client } = await startCloud();
  cloud.setBootProfile(QUICK_BOOTS);
  const [quick] = provisioned(await provision('r-1', 1));
  await world.run(2.1);
  assert.deepEqual(hostingCalls.splice(0), [`on ${quick}`]);
  cloud.setBootProfile({ ...USUAL_BOOTS, neverShare: 0, slowShare: 0 });
  const [usual] = provisioned(await provision('r-2', 1));
  await world.run(STANDARD_TYPE.bootS * 0.59);
  assert.deepEqual(hostingCalls, []);
  await world.run(STANDARD_TYPE.bootS);
  assert.deepEqual(hostingCalls.splice(0), [`on ${usual}`]);
  cloud.setBootProfile({ ...USUAL_BOOTS, neverShare: 1 });
  const never = provisioned(await provision('r-3', 1));
  await world.run(3600);
  await world.runUntilComplete(client.release([...never, 'unknown', quick]));
  assert.deepEqual(hostingCalls, [`off ${quick}`]);
});

test('the list lags, and shows a listed machine until its removal', async () => {
  const { world, cloud, provision, list, client } = await startCloud();
  cloud.setBootProfile(QUICK_BOOTS);
  const [name] = provisioned(await provision('r-1', 1));
  await world.run(LAG_S - 0.5);
  assert.deepEqual(await list(), []);
  let known: ListedMachine | undefined;
  for (let i = 0; i < 40; i++) {
    await world.run(0.25);
    const [listed] = await list();
    assert.ok(listed || !known, 'a listed machine stays listed');
    known = listed ?? known;
  }
  assert.equal(known?.state, 'running');
  await world.runUntilComplete(client.release([name]));
  assert.equal((await list()).length, 1);
  await world.run(2 * LAG_S);
  assert.deepEqual(await list(), []);
});

test('a failed machine is listed as running for a while, then as failed', async () => {
  const { world, cloud, hostingCalls, provision, list } = await startCloud();
  cloud.setBootProfile(QUICK_BOOTS);
  const [name] = provisioned(await provision('r-1', 1));
  await world.run(15);
  cloud.kill(name);
  assert.equal(hostingCalls.at(-1), `off ${name}`);
  await world.run(29);
  assert.equal((await list())[0].state, 'running');
  await world.run(1 + 2 * LAG_S);
  assert.equal((await list())[0].state, 'failed');
});

test('spot machines are reclaimed after a notice, or without one', async () => {
  const { world, cloud, hostingCalls, provision } = await startCloud();
  cloud.setBootProfile(QUICK_BOOTS);
  const [withNotice, withoutNotice] = provisioned(await provision('r-1', 2, true));
  await world.run(3);
  hostingCalls.length = 0;
  cloud.reclaim(withNotice, 20);
  cloud.reclaim(withoutNotice, null);
  assert.deepEqual(hostingCalls.splice(0), [`notice ${withNotice} 20`, `off ${withoutNotice}`]);
  await world.run(9.9);
  assert.deepEqual(hostingCalls, []);
  await world.run(20.2);
  assert.deepEqual(hostingCalls, [`off ${withNotice}`]);
});

test('requests are refused in an outage and above the rate limit, and late scale-outs get no answer', async () => {
  const { world, cloud, provision, list, client } = await startCloud();
  cloud.beginOutage();
  assert.equal(await provision('r-1', 1), 'trouble');
  cloud.endOutage();
  const lists = Array.from({ length: 45 }, () => client.list(null));
  const refused = (await world.runUntilComplete(Promise.allSettled(lists))).filter(
    (outcome) => outcome.status === 'rejected',
  );
  assert.ok(refused.length >= 1 && refused.length <= 5);
  await world.run(2);
  cloud.beginLateRequests(1);
  await assert.rejects(provision('r-2', 1));
  await world.run(12 + 2 * LAG_S);
  assert.equal((await list()).length, 1);
});
