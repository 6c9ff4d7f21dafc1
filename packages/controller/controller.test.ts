import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { ListenError, nodeRuntime, sleep, UserClient } from '#wire';
import { makeJob, CountingRuntime, STANDARD_TYPE, until } from '#testing';
import {
  CloudService,
  FREE_LOOPBACK_PORT,
  StateService,
  USUAL_BOOTS,
} from '../testing/stand-ins/index.js';
import { Controller } from './controller.js';
import { makeLog } from './observability/log.js';
import type { Settings } from './settings/settings.js';

/** Starts a state service on the loopback interface. */
async function startStateService() {
  const limits = { rps: 500, writeRps: 200, valueKb: 8, txnOps: 24 };
  const state = new StateService(nodeRuntime, limits);
  const { target } = await state.listen(FREE_LOOPBACK_PORT);
  return { state, stateAddress: target };
}

/** Starts a cloud whose machines never finish booting. */
async function startCloud() {
  let provisioned = 0;
  const hosting = {
    addressOf: (number: number) => ({ host: '127.0.0.1', port: (provisioned = number) }),
    powerOn: () => {},
    powerOff: () => {},
    giveNotice: () => {},
  };
  const options = { types: [STANDARD_TYPE], capacity: [{ machines: 3 }], rps: 20, listLagS: 1 };
  const cloud = new CloudService(nodeRuntime, options, hosting);
  cloud.setBootProfile({ ...USUAL_BOOTS, neverShare: 1 });
  const { target } = await cloud.listen(FREE_LOOPBACK_PORT);
  return { cloud, cloudAddress: target, provisioned: () => provisioned };
}

function settingsFor(stateAddress: string, cloudAddress: string, number: number): Settings {
  const peer = 1 - number;
  return {
    host_name: `c-${number}`,
    zone: 'a',
    listen: `127.0.0.1:${100 + number}`,
    cluster_listen: `127.0.0.1:${200 + number}`,
    peers: [{ host_name: `c-${peer}`, zone: 'a', peer_addr: `127.0.0.1:${200 + peer}` }],
    external: { cloud: cloudAddress, state: stateAddress },
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
      electionLeaseTtlS: 1,
      reserveSigmas: 2,
      idleHoldS: 24,
      arrivalMemoryS: 48,
      moves: null,
      replicaGroups: null,
    },
  };
}

test('two controllers in one process serve users and release all timers, connections and listeners when stopped', async () => {
  const { state, stateAddress } = await startStateService();
  const { cloud, cloudAddress, provisioned } = await startCloud();
  const log = makeLog(nodeRuntime.clock, 'c', 'error');
  const runtime = new CountingRuntime();
  const stop = new AbortController();
  const runs = [0, 1].map((number) =>
    new Controller(runtime, settingsFor(stateAddress, cloudAddress, number), log).run(stop.signal),
  );
  const client = new UserClient('127.0.0.1:101', 5000, runtime);
  const job = makeJob({ cpus: 1, gpus: 1, memory: 1 });
  await until(async () => (await client.submit(job).catch(() => null))?.status === 201);
  await until(() => provisioned() > 0);
  // One call is in flight when the controllers end.
  const last = client.abort(job.id).catch(() => null);
  stop.abort();
  await Promise.all(runs);
  await last;
  client.close();
  await sleep(nodeRuntime.clock, 50);
  assert.deepEqual(
    {
      timers: runtime.timers,
      connections: runtime.connections,
      listening: runtime.listeningServers,
    },
    { timers: 0, connections: 0, listening: 0 },
  );
  state.close();
  cloud.close();
});

test('a controller whose address is in use ends with ListenError and releases all that it started', async () => {
  const { state, stateAddress } = await startStateService();
  const runtime = new CountingRuntime();
  const settings = settingsFor(stateAddress, stateAddress, 0);
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
    assert.deepEqual([runtime.timers, runtime.connections, runtime.listeningServers], [0, 0, 0]);
  }
  state.close();
});
