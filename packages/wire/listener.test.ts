import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { until } from '#testing';
import { Listener, ListenError } from './listener.js';
import { nodeRuntime } from './runtime.js';

test('listening on an address in use fails with ListenError, and close() closes all connections', async () => {
  const first = new Listener(nodeRuntime.network, net.createServer());
  const address = { host: '127.0.0.1', port: 28_231 };
  await first.open(address);
  const second = new Listener(nodeRuntime.network, net.createServer());
  await assert.rejects(second.open(address), ListenError);
  const connection = nodeRuntime.network.connect(address);
  const ended = new Promise((resolve) => connection.once('close', resolve));
  connection.on('error', () => {});
  await until(() => first.connections === 1);
  await first.close();
  await ended;
  assert.equal(first.connections, 0);
  await second.open(address);
  await second.close();
});
