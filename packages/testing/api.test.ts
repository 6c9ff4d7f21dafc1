import assert from 'node:assert/strict';
import http from 'node:http';
import { type AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { encode, NoAnswer, nodeRuntime } from '#wire';
import {
  UserApiOptions,
  DirectCommands,
  withReports,
  makeApp,
  mountFallbacks,
  readBody,
  reply,
  socketShares,
  UserApi,
  WorkerConnections,
} from '#controller';
import { aFleet, aJob, aMachine, aReport } from './samples.js';
import { FREE_LOOPBACK_PORT, serveCbor } from './standins/index.js';

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
  const server = http.createServer(withReports(app, take)).listen(0, '127.0.0.1');
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

test('whoever owns hears of an abort before it is recorded, whatever becomes of the record', async () => {
  // Guards against tasks that run on past their time: the controller that recorded an abort ended
  // before it told the owner, and an outage of the state service began.
  const seen: string[] = [];
  const record = { job: aJob(), acceptedAtMs: 0, phase: 'accepted', version: 3 };
  const options = {
    client: { call: () => Promise.reject(new NoAnswer('cut')) },
    commits: {
      commit: () => {
        seen.push('commit');
        return Promise.reject(new NoAnswer('cut'));
      },
    },
    jobs: { get: () => record, cache: { sync: () => Promise.resolve() } },
    onRequest: () => () => {},
    crowded: () => false,
    onAbort: (id: string) => seen.push(id),
  };
  const app = makeApp();
  new UserApi(options as unknown as UserApiOptions).mount(app);
  const server = http.createServer(app).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  const status = await post(port, `/submissions/${record.job.id}/abort`, new Uint8Array());
  server.close();
  server.closeAllConnections();
  assert.equal(status, 503);
  assert.deepEqual(seen.slice(0, 2), [record.job.id, 'commit']);
});

test('direct commands to many machines keep to their share of the sockets', async () => {
  // Guards against one kept connection for each of hundreds of machines, beside all reports.
  const machines = 12;
  const most = 3;
  const fleet = aFleet();
  let ordered = 0;
  let atOnce = 0;
  let underWay = 0;
  const workers = [];
  for (let i = 0; i < machines; i++) {
    const name = `n-${i}`;
    const worker = await serveCbor(nodeRuntime, FREE_LOOPBACK_PORT, async ({ body }) => {
      atOnce = Math.max(atOnce, ++underWay);
      await new Promise((resolve) => setImmediate(resolve));
      ordered += (body as { orders: unknown[] }).orders.length;
      underWay--;
      return { status: 409, body: {} };
    });
    workers.push(worker);
    const machine = aMachine(fleet, name);
    fleet.reports.handle(aReport({ machine: name, addr: worker.target }), 0);
    machine.answeredAt = nodeRuntime.clock.now();
    const job = fleet.addJob(aJob({ id: `j-${i}` }), 0, 'accepted', 0);
    fleet.assignments.assign(job, 0, machine, fleet.assignments.newAttempt(), 0).recorded = true;
  }
  const stop = new AbortController();
  await new Promise<void>((resolve) => {
    const direct = new DirectCommands({
      runtime: nodeRuntime,
      fleet,
      timeoutMs: 5000,
      maxConnections: most,
      onOrders: () => {},
      onDone: () => {
        assert.ok(direct.connections <= most);
        if (ordered === machines) {
          direct.close();
          resolve();
        } else direct.push(stop.signal);
      },
    });
    direct.push(stop.signal);
  });
  assert.equal(ordered, machines);
  assert.ok(atOnce <= most);
  for (const w of workers) w.close();
});

test('sockets are shared by need, and a worker that reports anew gives its old one back', () => {
  for (const [sockets, peers] of [
    [60, 0],
    [700, 6],
    [1908, 2],
    [2153, 6],
  ]) {
    const { server, direct } = socketShares(sockets, peers);
    assert.ok(server >= 1 && direct >= 1 && server + direct + 4 * peers <= sockets);
  }
  // Guards against the half-open connections of a zone that was cut off: with those of its machines
  // that came back they used up the owner's sockets, and others could not report.
  const connections = new WorkerConnections();
  const [first, second] = [new Socket(), new Socket()];
  connections.heard('n-1', first);
  connections.heard('n-1', first);
  assert.ok(!first.destroyed);
  connections.heard('n-1', second);
  assert.ok(first.destroyed && !second.destroyed);
});
