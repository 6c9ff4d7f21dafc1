import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CborClient } from '#wire';
import { serveCbor, type CborServer, type RequestHandler } from '../http-server.js';
import { SampleWorld } from '../sample-world.js';
import { LoadBalancer } from './load-balancer.js';
import { NodeHealth } from './node-health.js';

const BALANCER = { host: '10.2.0.3', port: 80 };

/** Outcomes of probes one second apart (1: success, 0: failure) and the health after each (1: healthy). */
const PROBES: [name: string, probes: string, health: string][] = [
  ['a new node becomes healthy with its first successful probe', '0010', '0011'],
  ['two consecutive failures remove a node', '11001', '11100'],
  ['three failures among six probes remove a node', '1101010', '1111110'],
  ['a removed node returns after two successes and a pause', '10011111', '11000111'],
  ['a repeated removal doubles the pause', '1001110011111111', '1100011000000111'],
];

for (const [name, probes, expected] of PROBES) {
  test(`health: ${name}`, () => {
    let now = 0;
    const clock = { now: () => now, wallMs: () => 0, setTimer: () => ({ cancel() {} }) };
    const health = new NodeHealth(clock);
    const seen = [...probes].map((probe) => {
      now += 1;
      health.recordProbe(probe === '1');
      return health.isHealthy ? '1' : '0';
    });
    assert.equal(seen.join(''), expected);
  });
}

async function startBalancer(nodes: number) {
  const world = new SampleWorld();
  const served = Array<number>(nodes).fill(0);
  const healthy = Array<boolean>(nodes).fill(true);
  const servers: CborServer[] = [];
  for (let i = 0; i < nodes; i++) {
    const handle: RequestHandler = ({ path }) => {
      if (path === '/healthz') return { status: healthy[i] ? 200 : 503 };
      served[i]++;
      return { status: 200, body: {} };
    };
    const address = { host: `10.0.0.${i + 1}`, port: 80 };
    const runtime = world.createRuntime(address.host, 'controller');
    servers.push(await world.runUntilComplete(serveCbor(runtime, address, handle)));
  }
  const runtime = world.createRuntime(BALANCER.host, 'balancer');
  const addresses = served.map((_, i) => ({ name: `c-${i}`, address: `10.0.0.${i + 1}:80` }));
  const balancer = new LoadBalancer(runtime, addresses);
  await world.runUntilComplete(balancer.listen(BALANCER));
  await world.run(15);
  const user = world.createRuntime('10.7.0.1', 'users');
  /** Returns a function that sends a request on a connection of its own. */
  const connect = () => {
    const client = new CborClient(user, `${BALANCER.host}:${BALANCER.port}`, 1);
    return () => world.runUntilComplete(client.call('GET', '/any', { timeoutMs: 5000 }));
  };
  return { world, balancer, served, healthy, servers, connect };
}

test('new connections go to the nodes with the fewest connections, and stay on their node', async () => {
  const { served, connect } = await startBalancer(3);
  const users = Array.from({ length: 6 }, connect);
  for (const ask of users) await ask();
  assert.deepEqual(served, [2, 2, 2]);
  await users[0]();
  assert.equal(Math.max(...served), 3);
});

test('when a node refuses connections, another node serves them', async () => {
  const { world, served, servers, connect } = await startBalancer(2);
  servers[0].close();
  await world.run(0.1);
  for (let i = 0; i < 5; i++) await connect()();
  assert.deepEqual(served, [0, 5]);
});

test('an unhealthy node gets no new connections, and its open connections are reset after 5 s', async () => {
  const { world, balancer, served, healthy, connect } = await startBalancer(2);
  const users = [connect(), connect()];
  for (const ask of users) await ask();
  healthy[0] = false;
  await world.run(2.5);
  assert.deepEqual(balancer.health(), [false, true]);
  for (const ask of users) await ask();
  assert.deepEqual(served, [2, 2]);
  await world.run(5.5);
  for (const ask of users) await ask().catch(() => {});
  for (const ask of users) await ask();
  assert.equal(served[0], 2);
});
