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

/** Answers each request with the number of requests that this incarnation has served and the request's body. */
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

/** Posts the body; resolves with the answer's text, the error code, or `timeout`. */
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
  const skew = { initialS: 5, drift: 0.0003, wallOffsetMs: 20 };
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

test('HTTP requests with keep-alive share one simulated connection', async () => {
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

test('a crashed process refuses connections and sends nothing; after its restart it starts afresh', async () => {
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

test('the client of a silently crashed server gets a reset only when it sends its next request', async () => {
  const { world, server, results } = makeWorld(3);
  await world.runUntil(0.5);
  server.crash('silent');
  server.start();
  await world.runUntil(2.5);
  assert.deepEqual(results, ['1:0', 'ECONNRESET', '1:2']);
});

test('a frozen process serves the requests that arrived during the freeze once the freeze ends', async () => {
  const { world, server, results } = makeWorld(4);
  await world.runUntil(0.5);
  server.freeze(3);
  await world.runUntil(4);
  assert.deepEqual(results, ['1:0', '2:1 after 2 s']);
  server.freeze(6);
  await world.runUntil(11.9);
  // The client gave up the third request after 4 s; the server served it nevertheless after the freeze.
  assert.deepEqual(results.slice(2), ['timeout after 4 s', '4:3 after 1 s', '5:4']);
});

const effects: [LinkEffect, string[]][] = [
  ['refuse', ['1:0', 'ECONNREFUSED', 'ECONNREFUSED', 'ECONNREFUSED', '2:4', '3:5']],
  // The request that the client gave up still arrives once the rule is removed.
  ['hold', ['1:0', 'timeout after 4 s', '3:2 after 1 s']],
  ['drop', ['1:0', 'timeout after 4 s', '2:2 after 1 s']],
  ['drop-answers', ['1:0', 'timeout after 4 s']],
];
for (const [effect, expected] of effects) {
  test(`under the link rule ${effect}, requests end with the expected answers and errors`, async () => {
    const { world, network, rule, results } = makeWorld(5);
    await world.runUntil(0.5);
    const removeRule = network.apply(rule(effect));
    await world.runUntil(effect === 'refuse' ? 3.5 : 6.5);
    removeRule();
    await world.runUntil(effect === 'refuse' ? 5.5 : 7.5);
    assert.deepEqual(results, expected);
  });
}

test('a connection attempt that the client gave up under a hold rule is not accepted later', async () => {
  const { world, network, rule, opened, accepted, client } = makeWorld(6);
  const removeRule = network.apply(rule('hold'));
  await world.runUntil(5.5);
  assert.equal(opened(), 2);
  client.freeze(10);
  removeRule();
  await world.runUntil(6);
  assert.equal(accepted(), 1);
});

test('connections beyond maxConnections of a server are closed at once', async () => {
  const { world, network, client, results } = makeWorld(7);
  const holderHost = new SimulatedHost('holder', 'worker', '10.1.0.2', 'a');
  network.addHost(holderHost);
  client.crash();
  const skew = { initialS: 0, drift: 0, wallOffsetMs: 0 };
  const openTwo = (runtime: Runtime) => {
    for (let i = 0; i < 2; i++) runtime.network.connect(SERVER).on('error', () => {});
  };
  new SimulatedProcess(world, network, holderHost, 'holder', openTwo, skew).start();
  await world.runUntil(1);
  client.start();
  await world.runUntil(1.5);
  assert.deepEqual(results, ['ECONNRESET']);
});

test('a host at its socket limit fails to open connections and refuses incoming ones', async () => {
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

test('the same seed gives the same digest, another seed a different one', async () => {
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
