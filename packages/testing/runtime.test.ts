import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import { type Duplex, duplexPair } from 'node:stream';
import { test } from 'node:test';
import {
  CborClient,
  type Clock,
  encode,
  every,
  Listener,
  ListenError,
  NoAnswer,
  nodeRuntime,
  type Runtime,
  sleep,
  type Timer,
  UserClient,
  WakeablePause,
} from '#wire';
import { Controller, makeLog, Pacer, type Settings } from '#controller';
import { aJob, STD } from './samples.js';
import { CloudService, FREE_LOOPBACK_PORT, StateService, USUAL_BOOTS } from './standins/index.js';

/** The machine itself, counting the timers and connections that have been started and not ended. */
class CountingRuntime implements Runtime {
  timers = 0;
  connections = 0;
  /** Servers that connections are handed to as plain streams, by port. */
  private readonly servers = new Map<number, net.Server>();

  readonly clock: Clock = {
    now: nodeRuntime.clock.now,
    wallMs: nodeRuntime.clock.wallMs,
    setTimer: (callback, delayMs) => this.countTimer(callback, delayMs),
  };

  readonly network: Runtime['network'] = {
    connect: (address) => {
      const server = this.servers.get(address.port);
      const connection = server ? connectStream(server) : nodeRuntime.network.connect(address);
      this.connections++;
      connection.once('close', () => this.connections--);
      return connection;
    },
    listen: async (server, { port }) => {
      if (this.servers.has(port)) throw new Error('address in use');
      this.servers.set(port, server);
      server.once('close', () => this.servers.delete(port));
    },
  };

  random(): number {
    return nodeRuntime.random();
  }

  get listening(): number {
    return this.servers.size;
  }

  private countTimer(callback: () => void, delayMs: number): Timer {
    let pending = true;
    const settle = () => {
      if (pending) this.timers--;
      pending = false;
    };
    this.timers++;
    const timer = nodeRuntime.clock.setTimer(() => {
      settle();
      callback();
    }, delayMs);
    return {
      cancel: () => {
        settle();
        timer.cancel();
      },
    };
  }
}

/** A connection as a simulated network hands it over: streams without a socket's own methods. */
function connectStream(server: net.Server): Duplex {
  const [here, there] = duplexPair();
  here.once('close', () => there.destroy());
  there.once('close', () => here.destroy());
  setImmediate(() => {
    server.emit('connection', there);
    here.emit('connect');
  });
  return here;
}

/** A state service on the machine's own loopback. */
async function aStateService() {
  const limits = { rps: 500, writeRps: 200, valueKb: 8, txnOps: 24 };
  const state = new StateService(nodeRuntime, limits);
  const { target } = await state.listen(FREE_LOOPBACK_PORT);
  return { state, stateAt: target };
}

/** A cloud whose machines never come up. */
async function aCloud() {
  let rented = 0;
  const hosting = {
    addressOf: (number: number) => ({ host: '127.0.0.1', port: (rented = number) }),
    powerOn: () => {},
    powerOff: () => {},
    giveNotice: () => {},
  };
  const options = { types: [STD], capacity: [{ machines: 3 }], rps: 20, listLagS: 1 };
  const cloud = new CloudService(nodeRuntime, options, hosting);
  cloud.setBootProfile({ ...USUAL_BOOTS, neverShare: 1 });
  const { target } = await cloud.listen(FREE_LOOPBACK_PORT);
  return { cloud, cloudAt: target, rented: () => rented };
}

function settingsFor(stateAt: string, cloudAt: string, number: number): Settings {
  const peer = 1 - number;
  return {
    host_name: `c-${number}`,
    zone: 'a',
    listen: `127.0.0.1:${100 + number}`,
    cluster_listen: `127.0.0.1:${200 + number}`,
    peers: [{ host_name: `c-${peer}`, zone: 'a', peer_addr: `127.0.0.1:${200 + peer}` }],
    external: { cloud: cloudAt, state: stateAt },
    deployment: {
      nodes: 2,
      zones: ['a'],
      clock_off_ms: 0,
      teams: [{ name: 'red', cpus: 8, cpus_max: 80, gpus: 2, gpus_max: 20 }],
      objectives: [],
      workers: { report_s: 0.5, lease_s: 4, gang_wait_s: 5, gang_peer_s: 2, cancel_s: 10 },
      state: { rps: 500, write_rps: 200, value_kb: 8, txn_ops: 24 },
      cloud: { rps: 20, list_lag_s: 1 },
      limits: { cpu_share: 1, memory_mb: 100, sockets: 200 },
    },
    operator: {
      shareHalfLifeS: 1000,
      floorWeight: 0.05,
      stopThreshold: 0.5,
      gangLeaseS: 48,
      preemptAfterS: 1,
      ownerTtlS: 1,
      reserveSigmas: 2,
      idleHoldS: 24,
      arrivalMemoryS: 48,
    },
  };
}

async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(nodeRuntime.clock, 20);
}

test('two controllers in one process serve over plain streams and end all that they started', async () => {
  const { state, stateAt } = await aStateService();
  const { cloud, cloudAt, rented } = await aCloud();
  const log = makeLog(nodeRuntime.clock, 'c', 'error');
  const runtime = new CountingRuntime();
  const stop = new AbortController();
  const runs = [0, 1].map((number) =>
    new Controller(runtime, settingsFor(stateAt, cloudAt, number), log).run(stop.signal),
  );
  const client = new UserClient('127.0.0.1:101', 5000, runtime);
  const job = aJob({ cpus: 1, gpus: 1, memory: 1 });
  await until(async () => (await client.submit(job).catch(() => null))?.status === 201);
  await until(() => rented() > 0);
  // One call is under way when the controllers end.
  const last = client.abort(job.id).catch(() => null);
  stop.abort();
  await Promise.all(runs);
  await last;
  client.close();
  await sleep(nodeRuntime.clock, 50);
  assert.deepEqual(
    { timers: runtime.timers, connections: runtime.connections, listening: runtime.listening },
    { timers: 0, connections: 0, listening: 0 },
  );
  state.close();
  cloud.close();
});

test('an address that is taken ends the controller with an error and all that it started', async () => {
  const { state, stateAt } = await aStateService();
  const runtime = new CountingRuntime();
  const settings = settingsFor(stateAt, stateAt, 0);
  const log = makeLog(nodeRuntime.clock, 'c', 'error');
  for (const port of [100, 200]) {
    const taken = net.createServer();
    await runtime.network.listen(taken, { host: '127.0.0.1', port });
    await assert.rejects(
      new Controller(runtime, settings, log).run(new AbortController().signal),
      ListenError,
    );
    taken.close();
    await sleep(nodeRuntime.clock, 50);
    assert.deepEqual([runtime.timers, runtime.connections, runtime.listening], [0, 0, 0]);
  }
  state.close();
});

test('the network of the machine says when an address is taken, and closes what it serves', async () => {
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

test('a client keeps its connection, on plain streams too, and a closed one answers no call', async () => {
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
  const pending = client.call('GET', '/slow', { timeoutMs: 10_000 });
  client.close();
  await assert.rejects(pending, NoAnswer);
  await assert.rejects(client.call('GET', '/', { timeoutMs: 1000 }), NoAnswer);
  await listener.close();
  assert.deepEqual([runtime.timers, runtime.connections], [0, 0]);
});

/** A clock that stands still until it is moved. */
class HandClock implements Clock {
  private nowMs = 0;
  private readonly pending = new Set<{ atMs: number; callback: () => void }>();

  now(): number {
    return this.nowMs / 1000;
  }

  wallMs(): number {
    return this.nowMs;
  }

  setTimer(callback: () => void, delayMs: number): Timer {
    const timer = { atMs: this.nowMs + delayMs, callback };
    this.pending.add(timer);
    return { cancel: () => this.pending.delete(timer) };
  }

  get timers(): number {
    return this.pending.size;
  }

  /** Time passes without any timer being served, as while this process computes. */
  compute(ms: number): void {
    this.nowMs += ms;
  }

  advance(ms: number): void {
    const end = this.nowMs + ms;
    for (;;) {
      const due = [...this.pending].filter((timer) => timer.atMs <= end);
      if (due.length === 0) break;
      const next = due.reduce((a, b) => (b.atMs < a.atMs ? b : a));
      this.pending.delete(next);
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.callback();
    }
    this.nowMs = Math.max(this.nowMs, end);
  }
}

test('paced work runs at once, rests for a multiple of its length, and outlives its errors', () => {
  const clock = new HandClock();
  const runs: number[] = [];
  const errors: unknown[] = [];
  let lengthMs = 0;
  let more = 0;
  let fails = false;
  const pacer = new Pacer({
    clock,
    periodMs: 100,
    minRestMs: 20,
    restRatio: 3,
    run: () => {
      runs.push(Math.round(clock.wallMs()));
      clock.compute(lengthMs);
      if (fails) throw new Error('fault');
      return more-- > 0;
    },
    onError: (err) => errors.push(err),
  });
  pacer.request();
  assert.deepEqual(runs.splice(0), []);
  pacer.start();
  pacer.request();
  pacer.request();
  pacer.request();
  assert.deepEqual(runs.splice(0), [0]);
  // Requests within the rest share one run at its end; without any the period brings the next.
  clock.advance(99);
  assert.deepEqual(runs.splice(0), [20]);
  clock.advance(1);
  assert.deepEqual(runs.splice(0), [100]);
  // A long run rests for three times its length, periods or not; one with more to do does not rest.
  lengthMs = 50;
  more = 1;
  clock.advance(100);
  assert.deepEqual(runs.splice(0), [200, 250]);
  clock.advance(249);
  assert.deepEqual(runs.splice(0), [450]);
  lengthMs = 0;
  fails = true;
  clock.advance(201);
  assert.equal(errors.length, runs.length);
  assert.ok(runs.splice(0).length >= 2);
  pacer.stop();
  pacer.request();
  clock.advance(1000);
  assert.deepEqual(runs, []);
  assert.equal(clock.timers, 0);
});

test('waits end by time, by a wake or by their signal, and leave no timer', async () => {
  const clock = new HandClock();
  const pause = new WakeablePause(clock);
  const stop = new AbortController();
  pause.wake();
  const byTime = pause.wait(10, stop.signal);
  clock.advance(10);
  await byTime;
  const byWake = pause.wait(10, stop.signal);
  pause.wake();
  await byWake;
  const bySignal = pause.wait(10, stop.signal);
  stop.abort();
  await bySignal;
  await pause.wait(10, stop.signal);
  let ticks = 0;
  const timer = every(clock, 10, () => {
    if (++ticks === 3) timer.cancel();
  });
  clock.advance(100);
  assert.equal(ticks, 3);
  assert.equal(clock.timers, 0);
});
