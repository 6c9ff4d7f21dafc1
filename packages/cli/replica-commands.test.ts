import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import express from 'express';
import { runCommandLine } from './program.js';

async function startController(status: number, body: object): Promise<string> {
  const app = express();
  app.get('/replicas', (_req, res) => void res.status(status).json(body));
  const server = http.createServer(app).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  after(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function run(at: string) {
  let out = '';
  let err = '';
  const output = { out: (text: string) => (out += text), err: (text: string) => (err += text) };
  const exitCode = await runCommandLine(['replicas', '--at', at], output);
  return { exitCode, out, err };
}

test('replicas are listed as JSON, one per line', async () => {
  const rows = [
    { job: 'j-1', replica: 0, generation: 7, phase: 'repairing', forS: 2, why: 'member-lost' },
    { job: 'j-2', replica: 0, generation: 5, phase: 'whole', forS: 90, why: null },
  ];
  const result = await run(await startController(200, { replicas: rows }));
  const out = rows.map((row) => `${JSON.stringify(row)}\n`).join('');
  assert.deepEqual(result, { exitCode: 0, out, err: '' });
});

test('a follower and a controller with replica groups disabled give different errors', async () => {
  const followerBody = {
    error: 'this controller does not own the machines',
    owner: 'controller-2',
  };
  const fromFollower = await run(await startController(503, followerBody));
  assert.equal(fromFollower.exitCode, 1);
  assert.match(fromFollower.err, /does not own the machines; ask controller-2/);
  const whileDisabled = await run(
    await startController(404, { error: 'the section replicaGroups is absent' }),
  );
  assert.equal(whileDisabled.exitCode, 1);
  assert.match(whileDisabled.err, /404 the section replicaGroups is absent/);
  const unreachable = await run('127.0.0.1:1');
  assert.equal(unreachable.exitCode, 3);
});
