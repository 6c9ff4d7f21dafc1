import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '#wire';
import { postBytes, serveOnLoopback } from '#testing';
import { makeApp, mountFallbacks, routeRequests } from './http-server.js';
import { reply } from './replies.js';
import { readBody } from './request-body.js';

test('a body in several chunks is read, and one that is missing, too large or not a CBOR map is refused', async () => {
  const accepted: unknown[] = [];
  const accept = (body: unknown, res: Parameters<typeof reply>[0]) => {
    try {
      accepted.push(readBody(body));
      reply(res, 200, {});
    } catch {
      reply(res, 400, {});
    }
  };
  const app = makeApp();
  app.post('/submissions', (req, res) => accept(req.body, res));
  mountFallbacks(app);
  const { port, close } = await serveOnLoopback(routeRequests(app, accept));
  for (const path of ['/hello', '/submissions']) {
    const large = { text: 'x'.repeat(40_000) };
    assert.equal(await postBytes(port, path, encode(large)), 200);
    assert.deepEqual(accepted.pop(), large);
    assert.equal(await postBytes(port, path, encode({ text: 'x'.repeat(70_000) })), 400);
    assert.equal(await postBytes(port, path, new Uint8Array()), 400);
    assert.equal(await postBytes(port, path, Buffer.from([0xff, 0x00])), 400);
    assert.equal(await postBytes(port, path, encode([1])), 400);
  }
  assert.equal(await postBytes(port, '/nothing', new Uint8Array()), 404);
  assert.equal(accepted.length, 0);
  close();
});
