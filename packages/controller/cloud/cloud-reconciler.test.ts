import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CloudClient, nodeRuntime } from '#wire';
import type { CapacityPlanner, FleetState } from '#core';
import { CloudReconciler } from './cloud-reconciler.js';
import { makeLog } from '../observability/log.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import { aFleet, aMachine, STD } from '../../testing/samples.js';
import { FREE_LOOPBACK_PORT, serveCbor } from '../../testing/stand-ins/index.js';

interface Permission {
  rent: boolean;
  release: boolean;
}

/** A cloud that notes what it is asked for, with one failed machine to give back. */
class RecordingCloud {
  readonly asked: string[] = [];

  async catalog() {
    return [];
  }

  async list() {
    return { machines: [], more: false };
  }

  async release(names: string[]) {
    this.asked.push(`release ${names.join(' ')}`);
  }

  async provision() {
    this.asked.push('rent');
    return { machines: [] };
  }
}

/** An owner that has read its records long ago, with a planner of its own. */
function anOwner(
  fleet: FleetState,
  planner: Pick<CapacityPlanner, 'plan' | 'scaleOutRefused'>,
): ShardLeader {
  const term = { term: 1 };
  const state = { ready: true, first: true, startedAt: -1000 };
  return { fleet, planner, term, ...state, requestRound: () => {} } as unknown as ShardLeader;
}

async function callsOf(permission: Permission): Promise<string[]> {
  const stop = new AbortController();
  const cloud = new RecordingCloud();
  const fleet = aFleet();
  fleet.machines.markFailed(aMachine(fleet, 'n-1'));
  let plans = 0;
  const leader = anOwner(fleet, {
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
  const duty = new CloudReconciler({
    runtime: nodeRuntime,
    cloud: cloud as unknown as CloudClient,
    leader,
    name: 'c-0',
    rps: 1000,
    listLagS: 0.01,
    heartbeatIntervalS: 0.02,
    leaseS: 0.2,
    onTypes: async () => {},
    mayScaleOut: () => permission.rent,
    mayScaleIn: () => permission.release,
    log: makeLog(nodeRuntime.clock, 'c-0', 'error'),
  });
  const done = duty.run(stop.signal);
  await new Promise((resolve) => setTimeout(resolve, 150));
  stop.abort();
  await done;
  return [...new Set(cloud.asked)];
}

test('only an owner that nobody can have succeeded rents, and releases only while it is served', async () => {
  // Guards against a former owner that rents a second fleet for the work it takes for lost, and gives
  // back machines that its successor uses.
  assert.deepEqual(await callsOf({ rent: false, release: false }), []);
  assert.deepEqual(await callsOf({ rent: true, release: false }), ['rent']);
  assert.deepEqual(await callsOf({ rent: true, release: true }), ['release n-1', 'rent']);
});

/** A cloud without room that answers no rent before that many have come. */
async function aFullCloud(calls: number) {
  const asked: number[] = [];
  let release = () => {};
  const all = new Promise<void>((resolve) => (release = resolve));
  const server = await serveCbor(
    nodeRuntime,
    FREE_LOOPBACK_PORT,
    async ({ method, path, body }) => {
      if (path === '/catalog') return { status: 200, body: { rigs: [] } };
      if (method === 'GET') return { status: 200, body: { hosts: [], more: false } };
      asked.push((body as { number: number }).number);
      if (asked.length === calls) release();
      await all;
      return { status: 503, body: { error: 'no capacity' } };
    },
  );
  return { server, asked };
}

test('the rents of one plan do not wait for the answers to each other', async () => {
  // Guards against a fleet that is rented kind by kind: the last came seconds after the first.
  const counts = [40, 40, 60];
  const kinds = counts.map((count, i) => ({ type: 'std', zone: 'abc'[i], spot: false, count }));
  const calls = 4;
  const { server, asked } = await aFullCloud(calls);
  const fleet = aFleet();
  fleet.machines.setType(STD);
  const stop = new AbortController();
  const refused: string[] = [];
  const leader = anOwner(fleet, {
    plan: () => ({ scaleOut: refused.length === 0 ? kinds : [], scaleIn: [], consolidation: null }),
    scaleOutRefused: ({ zone }) => {
      refused.push(zone);
      if (refused.length === calls) stop.abort();
    },
  });
  const client = new CloudClient(nodeRuntime, server.target, 60_000);
  const log = makeLog(nodeRuntime.clock, 'c-0', 'error');
  const duty = new CloudReconciler({
    runtime: nodeRuntime,
    cloud: client,
    leader,
    name: 'c-0',
    rps: 100,
    listLagS: 1,
    heartbeatIntervalS: 1,
    leaseS: 10,
    onTypes: async () => {},
    mayScaleOut: () => true,
    mayScaleIn: () => true,
    log,
  });
  await duty.run(stop.signal);
  client.close();
  server.close();
  // What one call may ask for is bounded, and a full portion is no refusal of the rest.
  assert.deepEqual(
    asked.sort((x, y) => x - y),
    [10, 40, 40, 50],
  );
});
