import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '#wire';
import { postBytes, serveOnLoopback } from '#testing';
import { readBody, reply } from './http-bodies.js';
import { makeApp, mountFallbacks, withHeartbeats } from './http-server.js';

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
  const { port, close } = await serveOnLoopback(withHeartbeats(app, take));
  for (const path of ['/hello', '/submissions']) {
    const large = { text: 'x'.repeat(40_000) };
    assert.equal(await postBytes(port, path, encode(large)), 200);
    assert.deepEqual(taken.pop(), large);
    assert.equal(await postBytes(port, path, encode({ text: 'x'.repeat(70_000) })), 400);
    assert.equal(await postBytes(port, path, new Uint8Array()), 400);
    assert.equal(await postBytes(port, path, Buffer.from([0xff, 0x00])), 400);
    assert.equal(await postBytes(port, path, encode([1])), 400);
  }
  assert.equal(await postBytes(port, '/nothing', new Uint8Array()), 404);
  assert.equal(taken.length, 0);
  close();
});
