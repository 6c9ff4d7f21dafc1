import assert from 'node:assert/strict';
import http from 'node:http';
import type { Duplex } from 'node:stream';
import { test } from 'node:test';
import { pause, type Runtime } from '#wire';
import {
  LinkEffect,
  LinkRule,
  SimulatedHost,
  SimulatedNetwork,
  SimulatedProcess,
  World,
} from './index.js';

const SERVER = { host: '10.0.0.1', port: 8080 };

/** Answers with how many requests this incarnation has served and on which connection. */
function countingServer(runtime: Runtime, onConnection: () => void): void {
  let served = 0;
  const server = http.createServer((req, res) => {
    let text = '';
    req.on('data', (chunk: Buffer) => (text += chunk.toString()));
    req.on('end', () => res.end(`${++served}:${text}`));
  });
  server.keepAliveTimeout = 75_000;
  server.on('connection', onConnection);
  server.maxConnections = 2;
  void runtime.network.listen(server, SERVER);
}

class SimulatedAgent extends http.Agent {
  opened = 0;
  constructor(private readonly runtime: Runtime) {
    super({ keepAlive: true, maxSockets: 1 });
  }
  override createConnection(): Duplex {
    this.opened++;
    return this.runtime.network.connect(SERVER);
  }
}

/** What a request came to: the answer's text or the error's code. */
function post(
  runtime: Runtime,
  agent: http.Agent,
  body: string,
  timeoutMs = 4000,
): Promise<string> {
  return new Promise((resolve) => {
    const request = http.request({ ...SERVER, method: 'POST', agent }, (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('end', () => resolve(text));
    });
    request.on('error', (err: NodeJS.ErrnoException) => resolve(err.code ?? err.message));
    const timer = runtime.clock.setTimer(() => {
      resolve('timeout');
      request.destroy();
    }, timeoutMs);
    request.on('close', () => timer.cancel());
    request.end(body);
  });
}

function makeWorld(seed: number) {
  const world = new World(seed);
  const network = new SimulatedNetwork(world);
  const skew = { zeroS: 5, drift: 0.0003, wallOffsetMs: 20 };
  const serverHost = network.addHost(new SimulatedHost('s', 'controller', SERVER.host, 'a'));
  const clientHost = network.addHost(new SimulatedHost('c', 'worker', '10.1.0.1', 'a'));
  const serve = (runtime: Runtime) => countingServer(runtime, () => accepted++);
  const server = new SimulatedProcess(world, network, serverHost, 's', serve, skew);
  const results: string[] = [];
  let accepted = 0;
  let agent: SimulatedAgent | undefined;
  const client = new SimulatedProcess(
    world,
    network,
    clientHost,
    'c',
    (runtime) => {
      const newAgent = new SimulatedAgent(runtime);
      agent = newAgent;
      void (async () => {
        for (let i = 0; ; i++) {
          const sentAt = runtime.clock.now();
          const result = await post(runtime, newAgent, `${i}`);
          const tookMs = Math.round((runtime.clock.now() - sentAt) * 1000);
          results.push(tookMs > 500 ? `${result} after ${Math.round(tookMs / 1000)} s` : result);
          await pause(runtime.clock, 1000);
        }
      })();
    },
    skew,
  );
  server.start();
  client.start();
  const rule = (effect: LinkEffect): LinkRule => ({
    opener: (host) => host === clientHost,
    acceptor: (host) => host === serverHost,
    effect,
  });
  return {
    world,
    network,
    server,
    client,
    results,
    rule,
    opened: () => agent?.opened,
    accepted: () => accepted,
  };
}

test('keep-alive HTTP runs over simulated connections', async () => {
  const { world, results, opened } = makeWorld(1);
  await world.runUntil(9.5);
  assert.deepEqual(results, [
    '1:0',
    '2:1',
    '3:2',
    '4:3',
    '5:4',
    '6:5',
    '7:6',
    '8:7',
    '9:8',
    '10:9',
  ]);
  assert.equal(opened(), 1);
  assert.deepEqual(world.uncaught, []);
});

test('a crashed process leaves nothing behind and serves again after its restart', async () => {
  const { world, server, client, results } = makeWorld(2);
  await world.runUntil(2.5);
  server.restart(0.2);
  await world.runUntil(3.5);
  assert.deepEqual(results, ['1:0', '2:1', '3:2', '1:3']);
  server.crash();
  await world.runUntil(5.5);
  assert.deepEqual(results.slice(4), ['ECONNREFUSED', 'ECONNREFUSED']);
  client.crash();
  server.start();
  await world.runUntil(20);
  assert.equal(results.length, 6);
});

test('a silent crash shows only when the other side writes', async () => {
  const { world, server, results } = makeWorld(3);
  await world.runUntil(0.5);
  server.crash('silent');
  server.start();
  await world.runUntil(2.5);
  assert.deepEqual(results, ['1:0', 'ECONNRESET', '1:2']);
});

test('a frozen process serves what came meanwhile once it wakes', async () => {
  const { world, server, results } = makeWorld(4);
  await world.runUntil(0.5);
  server.freeze(3);
  await world.runUntil(4);
  assert.deepEqual(results, ['1:0', '2:1 after 2 s']);
  server.freeze(6);
  await world.runUntil(11.9);
  // The third request was given up after 4 s and served all the same.
  assert.deepEqual(results.slice(2), ['timeout after 4 s', '4:3 after 1 s', '5:4']);
});

const effects: [LinkEffect, string[]][] = [
  ['refuse', ['1:0', 'ECONNREFUSED', 'ECONNREFUSED', 'ECONNREFUSED', '2:4', '3:5']],
  // The request that was given up arrives after the cut.
  ['hold', ['1:0', 'timeout after 4 s', '3:2 after 1 s']],
  ['drop', ['1:0', 'timeout after 4 s', '2:2 after 1 s']],
  ['drop-answers', ['1:0', 'timeout after 4 s']],
];
for (const [effect, expected] of effects) {
  test(`connections under the rule ${effect}`, async () => {
    const { world, network, rule, results } = makeWorld(5);
    await world.runUntil(0.5);
    const lift = network.apply(rule(effect));
    await world.runUntil(effect === 'refuse' ? 3.5 : 6.5);
    lift();
    await world.runUntil(effect === 'refuse' ? 5.5 : 7.5);
    assert.deepEqual(results, expected);
  });
}

test('a connection attempt that was given up under a rule does not complete later', async () => {
  const { world, network, rule, opened, accepted, client } = makeWorld(6);
  const lift = network.apply(rule('hold'));
  await world.runUntil(5.5);
  assert.equal(opened(), 2);
  client.freeze(10);
  lift();
  await world.runUntil(6);
  assert.equal(accepted(), 1);
});

test('connections beyond the limit of a server are closed at once', async () => {
  const { world, network, client, results } = makeWorld(7);
  const hold = new SimulatedHost('holder', 'worker', '10.1.0.2', 'a');
  network.addHost(hold);
  client.crash();
  const skew = { zeroS: 0, drift: 0, wallOffsetMs: 0 };
  const dial = (runtime: Runtime) => {
    for (let i = 0; i < 2; i++) runtime.network.connect(SERVER).on('error', () => {});
  };
  new SimulatedProcess(world, network, hold, 'holder', dial, skew).start();
  await world.runUntil(1);
  client.start();
  await world.runUntil(1.5);
  assert.deepEqual(results, ['ECONNRESET']);
});

test('a host without free sockets opens no connection and refuses those of others', async () => {
  const { world, server, client, results } = makeWorld(8);
  await world.runUntil(0.5);
  server.host.socketLimit = 1;
  client.restart(0.1);
  await world.runUntil(1);
  client.host.socketLimit = 0;
  client.restart(0.1);
  await world.runUntil(1.5);
  server.host.socketLimit = 0;
  client.host.socketLimit = 1;
  client.restart(0.1);
  await world.runUntil(2);
  assert.deepEqual(results, ['1:0', '2:0', 'EMFILE', 'ECONNREFUSED']);
});

test('the same seed gives the same run, another seed another one', async () => {
  const digests = [];
  for (const seed of [7, 7, 8]) {
    const { world, server } = makeWorld(seed);
    await world.runUntil(3);
    server.restart(0.3);
    await world.runUntil(30);
    digests.push(world.digest);
  }
  assert.equal(digests[0], digests[1]);
  assert.notEqual(digests[0], digests[2]);
});
