import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { encode } from '#wire';
import { frontOf, makeApp, mountFallbacks, readBody, reply } from '#controller';

async function post(port: number, path: string, body: Uint8Array): Promise<number> {
  return new Promise((resolve, reject) => {
    const req = http.request({ host: '127.0.0.1', port, method: 'POST', path }, (res) => {
      res.resume();
      res.on('end', () => resolve(res.statusCode ?? 0));
    });
    req.on('error', reject);
    req.end(body);
  });
}

test('a body is taken in pieces, and one that is missing, too large or no CBOR is refused at once', async () => {
  const taken: unknown[] = [];
  const take = (body: unknown, res: Parameters<typeof reply>[0]) => {
    try {
      taken.push(readBody(body));
      reply(res, 200, {});
    } catch {
      reply(res, 400, {});
    }
  };
  const app = makeApp();
  app.post('/submissions', (req, res) => take(req.body, res));
  mountFallbacks(app);
  const server = http.createServer(frontOf(app, take)).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  for (const path of ['/hello', '/submissions']) {
    const large = { text: 'x'.repeat(40_000) };
    assert.equal(await post(port, path, encode(large)), 200);
    assert.deepEqual(taken.pop(), large);
    assert.equal(await post(port, path, encode({ text: 'x'.repeat(70_000) })), 400);
    assert.equal(await post(port, path, new Uint8Array()), 400);
    assert.equal(await post(port, path, Buffer.from([0xff, 0x00])), 400);
    assert.equal(await post(port, path, encode([1])), 400);
  }
  assert.equal(await post(port, '/nothing', new Uint8Array()), 404);
  assert.equal(taken.length, 0);
  server.close();
  server.closeAllConnections();
});
