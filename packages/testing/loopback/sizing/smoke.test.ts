import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { Figure } from './figure.js';
import { fillFleet } from './full-fleet.js';
import { makeCluster } from './measure-all.js';
import { measureLeader, measureStandby } from './measurements/steady.js';
import { readOptions } from './options.js';
import { waitFor } from './wait.js';

const options = readOptions(
  '--controllers 2 --machines 4 --jobs-per-minute 0 --settle-s 0 --seconds 1'.split(' '),
);
const cluster = makeCluster(options);
after(() => cluster.close());

function valueOf(figures: Figure[], name: string): number {
  return figures.find((figure) => figure.name === name)?.value ?? NaN;
}

test('two controllers on the loopback fill the fleet, are measured, and replace a killed leader', async () => {
  await fillFleet(cluster, options);
  const [leader] = await measureLeader(cluster, options);
  const [standby] = await measureStandby(cluster, options);
  for (const { measurement, figures } of [leader, standby]) {
    assert.ok(valueOf(figures, 'processor') >= 0, measurement);
    assert.ok(valueOf(figures, 'memory') > 10, measurement);
    assert.ok(valueOf(figures, 'requests to the state service') >= 0, measurement);
  }
  const former = cluster.requireLeader();
  await former.end('SIGKILL');
  const successor = await waitFor('a successor', 60, () => cluster.leader());
  assert.notEqual(successor, former);
});
