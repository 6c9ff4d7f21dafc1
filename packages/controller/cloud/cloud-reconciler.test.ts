import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CloudClient, nodeRuntime } from '#wire';
import type { CapacityPlanner, FleetState } from '#core';
import { CloudReconciler } from './cloud-reconciler.js';
import { makeLog } from '../observability/log.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import { makeFleet, registerMachine, STANDARD_TYPE } from '../../testing/samples.js';
import { FREE_LOOPBACK_PORT, serveCbor } from '../../testing/stand-ins/index.js';

interface Permission {
  scaleOut: boolean;
  scaleIn: boolean;
}

/** A cloud that records the requests that it gets. */
class RecordingCloud {
  readonly requests: string[] = [];

  catalog() {
    return Promise.resolve([]);
  }

  list() {
    return Promise.resolve({ machines: [], more: false });
  }

  release(names: string[]) {
    this.requests.push(`release ${names.join(' ')}`);
    return Promise.resolve();
  }

  provision() {
    this.requests.push('provision');
    return Promise.resolve({ machines: [] });
  }
}

/** Makes a leader that read its records long ago and uses the given planner. */
function makeLeader(
  fleet: FleetState,
  planner: Pick<CapacityPlanner, 'plan' | 'scaleOutRefused'>,
): ShardLeader {
  const term = { term: 1 };
  const state = { recordsLoaded: true, foundNoMachines: true, startedAt: -1000 };
  return { fleet, planner, term, ...state, requestRound: () => {} } as unknown as ShardLeader;
}

/** Returns the requests of a reconciler with one failed machine and one planned scale-out. */
async function collectRequests(permission: Permission): Promise<string[]> {
  const stop = new AbortController();
  const cloud = new RecordingCloud();
  const fleet = makeFleet();
  fleet.machines.markFailed(registerMachine(fleet, 'n-1'));
  let plans = 0;
  const leader = makeLeader(fleet, {
    plan: () => {
      plans++;
      return {
        scaleOut: plans === 1 ? [{ type: 'std', zone: 'a', spot: false, count: 1 }] : [],
        scaleIn: [],
        consolidation: null,
      };
    },
    scaleOutRefused: () => {},
  });
  const reconciler = new CloudReconciler({
    runtime: nodeRuntime,
    cloud: cloud as unknown as CloudClient,
    leader,
    name: 'c-0',
    rps: 1000,
    listLagS: 0.01,
    heartbeatIntervalS: 0.02,
    leaseS: 0.2,
    onTypes: () => Promise.resolve(),
    mayScaleOut: () => permission.scaleOut,
    mayScaleIn: () => permission.scaleIn,
    log: makeLog(nodeRuntime.clock, 'c-0', 'error'),
  });
  const done = reconciler.run(stop.signal);
  await new Promise((resolve) => setTimeout(resolve, 150));
  stop.abort();
  await done;
  return [...new Set(cloud.requests)];
}

test('a leader scales out only if it has no successor, and scales in only if the state service also serves it', async () => {
  // Guards against a former leader that provisions a second fleet for work that it assumes to be lost, and
  // deprovisions machines that its successor uses.
  assert.deepEqual(await collectRequests({ scaleOut: false, scaleIn: false }), []);
  assert.deepEqual(await collectRequests({ scaleOut: true, scaleIn: false }), ['provision']);
  assert.deepEqual(await collectRequests({ scaleOut: true, scaleIn: true }), [
    'release n-1',
    'provision',
  ]);
});

/** Serves a cloud without capacity that answers provisioning requests only once `calls` have arrived. */
async function serveFullCloud(calls: number) {
  const requestedCounts: number[] = [];
  let resolveAllRequested = () => {};
  const allRequested = new Promise<void>((resolve) => (resolveAllRequested = resolve));
  const server = await serveCbor(
    nodeRuntime,
    FREE_LOOPBACK_PORT,
    async ({ method, path, body }) => {
      if (path === '/catalog') return { status: 200, body: { rigs: [] } };
      if (method === 'GET') return { status: 200, body: { hosts: [], more: false } };
      requestedCounts.push((body as { number: number }).number);
      if (requestedCounts.length === calls) resolveAllRequested();
      await allRequested;
      return { status: 503, body: { error: 'no capacity' } };
    },
  );
  return { server, requestedCounts };
}

test('the provisioning requests of one plan are sent without waiting for answers', async () => {
  // Guards against provisioning one kind of machine after another: the last came seconds after the first.
  const counts = [40, 40, 60];
  const kinds = counts.map((count, i) => ({ type: 'std', zone: 'abc'[i], spot: false, count }));
  const calls = 4;
  const { server, requestedCounts } = await serveFullCloud(calls);
  const fleet = makeFleet();
  fleet.machines.setType(STANDARD_TYPE);
  const stop = new AbortController();
  const refused: string[] = [];
  const leader = makeLeader(fleet, {
    plan: () => ({ scaleOut: refused.length === 0 ? kinds : [], scaleIn: [], consolidation: null }),
    scaleOutRefused: ({ zone }) => {
      refused.push(zone);
      if (refused.length === calls) stop.abort();
    },
  });
  const client = new CloudClient(nodeRuntime, server.target, 60_000);
  const log = makeLog(nodeRuntime.clock, 'c-0', 'error');
  const reconciler = new CloudReconciler({
    runtime: nodeRuntime,
    cloud: client,
    leader,
    name: 'c-0',
    rps: 100,
    listLagS: 1,
    heartbeatIntervalS: 1,
    leaseS: 10,
    onTypes: () => Promise.resolve(),
    mayScaleOut: () => true,
    mayScaleIn: () => true,
    log,
  });
  await reconciler.run(stop.signal);
  client.close();
  server.close();
  // The scale-out of 60 machines exceeds the limit of one call and is split into 50 and 10, both of which are requested.
  assert.deepEqual(
    requestedCounts.sort((x, y) => x - y),
    [10, 40, 40, 50],
  );
});
