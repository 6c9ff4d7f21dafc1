import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { nodeRuntime, pause } from '#wire';
import { encodeFrame } from './frame-codec.js';
import { PeerLink } from './peer-link.js';

const HOST = '127.0.0.1';
const RETRY_MS = 50;

async function findFreePort(): Promise<number> {
  const server = net.createServer().listen(0, HOST);
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function makeLink(self: string, port: number, peer: string, peerPort: number): PeerLink {
  return new PeerLink({
    runtime: nodeRuntime,
    self,
    listen: { host: HOST, port },
    peers: [{ name: peer, addr: `${HOST}:${peerPort}` }],
    retryMs: RETRY_MS,
  });
}

/** Opens a connection that sends a hello frame and then neither sends anything nor closes. */
function openSilentConnection(port: number, name: string): net.Socket {
  const socket = net.connect(port, HOST);
  socket.on('error', () => {});
  socket.write(encodeFrame({ kind: 'hello', name }));
  return socket;
}

test('a peer can connect although a network partition left many of its connections open', async () => {
  // Guards against a controller that receives nothing from any peer, because connections left open have
  // reached the limit of accepted connections.
  const [portA, portB] = [await findFreePort(), await findFreePort()];
  const stop = new AbortController();
  const linkA = makeLink('a', portA, 'b', portB);
  const linkB = makeLink('b', portB, 'a', portA);
  let received = 0;
  linkB.frames.subscribe(() => received++);
  const runB = linkB.run(stop.signal);
  await pause(nodeRuntime.clock, RETRY_MS);
  const silent = Array.from({ length: 40 }, () => openSilentConnection(portB, 'a'));
  await pause(nodeRuntime.clock, 4 * RETRY_MS);
  const runA = linkA.run(stop.signal);
  for (let i = 0; i < 40 && received === 0; i++) {
    linkA.send({ kind: 'cancel', job: 'j-1', ageMs: 0 });
    await pause(nodeRuntime.clock, RETRY_MS);
  }
  assert.ok(received > 0);
  stop.abort();
  for (const socket of silent) socket.destroy();
  await Promise.all([runA, runB]);
});

test('redial replaces a connection, unless it is younger than the given age', async () => {
  const [port, peerPort] = [await findFreePort(), await findFreePort()];
  const dialled: net.Socket[] = [];
  const peer = net.createServer((socket) => dialled.push(socket)).listen(peerPort, HOST);
  const stop = new AbortController();
  const link = makeLink('a', port, 'b', peerPort);
  const run = link.run(stop.signal);
  await pause(nodeRuntime.clock, 4 * RETRY_MS);
  assert.equal(dialled.length, 1);
  link.redial('b', 60);
  await pause(nodeRuntime.clock, 4 * RETRY_MS);
  assert.equal(dialled.length, 1);
  link.redial('b', 0);
  await pause(nodeRuntime.clock, 4 * RETRY_MS);
  assert.equal(dialled.length, 2);
  stop.abort();
  await run;
  for (const socket of dialled) socket.destroy();
  peer.close();
});
