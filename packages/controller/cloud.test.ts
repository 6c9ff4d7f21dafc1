import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CloudClient, nodeRuntime } from '#wire';
import { CloudDuty } from './cloud.js';
import { makeLog } from './log.js';
import type { PartOwner } from './owner.js';
import { aBook, aMachine } from '../testing/samples.js';

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

  async rent() {
    this.asked.push('rent');
    return { machines: [] };
  }
}

async function callsOf(permission: Permission): Promise<string[]> {
  const stop = new AbortController();
  const cloud = new RecordingCloud();
  const book = aBook();
  aMachine(book, 'n-1').listedFailed = true;
  let plans = 0;
  const owner = {
    book,
    term: { term: 1 },
    ready: true,
    first: true,
    startedAt: -1000,
    nudge: () => {},
    planner: {
      plan: () => {
        plans++;
        return {
          rent: plans === 1 ? [{ type: 'std', zone: 'a', spot: false, count: 1 }] : [],
          release: [],
          consolidation: null,
        };
      },
      rentalRefused: () => {},
    },
  } as unknown as PartOwner;
  const duty = new CloudDuty({
    runtime: nodeRuntime,
    cloud: cloud as unknown as CloudClient,
    owner,
    name: 'c-0',
    rps: 1000,
    listLagS: 0.01,
    reportS: 0.02,
    leaseS: 0.2,
    onTypes: async () => {},
    mayRent: () => permission.rent,
    mayRelease: () => permission.release,
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
