import assert from 'node:assert/strict';
import http from 'node:http';
import { test } from 'node:test';
import { CountingRuntime } from '#testing';
import { encode } from './cbor.js';
import { CborClient, NoAnswer } from './cbor-client.js';
import { Listener } from './listener.js';

test('a client reuses a connection that is a plain stream, and rejects with NoAnswer on timeout and once closed', async () => {
  const runtime = new CountingRuntime();
  let requests = 0;
  const server = http.createServer((req, res) => {
    requests++;
    req.resume();
    if (req.url === '/slow') return;
    res.end(encode({ requests }));
  });
  const listener = new Listener(runtime.network, server);
  await listener.open({ host: '127.0.0.1', port: 300 });
  const client = new CborClient(runtime, '127.0.0.1:300');
  for (let i = 1; i <= 30; i++) {
    const answer = await client.call('POST', '/', { timeoutMs: 1000, body: { i } });
    assert.deepEqual(answer.body, { requests: i });
  }
  assert.equal(runtime.connections, 1);
  await assert.rejects(client.call('GET', '/slow', { timeoutMs: 20 }), NoAnswer);
  const callInFlight = client.call('GET', '/slow', { timeoutMs: 10_000 });
  client.close();
  await assert.rejects(callInFlight, NoAnswer);
  await assert.rejects(client.call('GET', '/', { timeoutMs: 1000 }), NoAnswer);
  await listener.close();
  assert.deepEqual([runtime.timers, runtime.connections], [0, 0]);
});
