import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import express from 'express';
import { nodeRuntime } from '#wire';
import { MetricsEndpoint, type MetricsEndpointOptions } from './metrics-endpoint.js';
import { ProcessStatistics } from './process-statistics.js';

/** Reads `/metrics` of a follower with a few counts, in Prometheus' text format. */
async function readMetrics(): Promise<string> {
  const { clock } = nodeRuntime;
  const statistics = new ProcessStatistics({
    clock,
    heartbeatIntervalS: 1,
    counted: () => ({ stateRequests: 7 }),
    connections: () => 3,
    onSample: () => {},
  });
  statistics.heartbeats = 11;
  statistics.userRequests = 5;
  statistics.rounds = 2;
  const options = {
    clock,
    heartbeatIntervalS: 1,
    statistics,
    client: { available: () => ({ requests: 1 }) },
    admission: { totals: () => ({ red: 4 }) },
    jobMemory: { usedBytes: 3 * 2 ** 20, limitBytes: 20 * 2 ** 20 },
    replicas: { support: null },
    leader: () => null,
  };
  const app = express();
  new MetricsEndpoint(options as unknown as MetricsEndpointOptions).mount(app);
  const server = http.createServer(app).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return (await fetch(`http://127.0.0.1:${port}/metrics`)).text();
}

test('metrics keep their names and labels, although the code names the counts differently', async () => {
  const lines = (await readMetrics()).split('\n');
  const values = lines.filter((line) => line !== '' && !line.startsWith('#'));
  const jobMemory = values.filter((line) => line.startsWith('sorreldale_job_memory'));
  assert.deepEqual(jobMemory, [
    'sorreldale_job_memory{of="used"} 3',
    'sorreldale_job_memory{of="limit"} 20',
  ]);
  const totals = values.filter((line) => line.startsWith('sorreldale_total'));
  assert.deepEqual(totals, [
    'sorreldale_total{of="reports"} 11',
    'sorreldale_total{of="questions"} 5',
    'sorreldale_total{of="peerFrames"} 0',
    'sorreldale_total{of="rounds"} 2',
    'sorreldale_total{of="roundMs"} 0',
    'sorreldale_total{of="stateRequests"} 7',
  ]);
  const held = values.filter((line) => line.startsWith('sorreldale_held'));
  assert.deepEqual(
    held.map((line) => line.replace(/ .*/, '')),
    ['connections', 'heapMb', 'sizeMb'].map((label) => `sorreldale_held{of="${label}"}`),
  );
  for (const line of [
    'sorreldale_term 0',
    'sorreldale_refused_submissions{team="red"} 4',
    'sorreldale_awaiting_jobs 0',
    'sorreldale_suspect_jobs 0',
    'sorreldale_report_seconds_count 0',
    'sorreldale_round_seconds_count 0',
  ]) {
    assert.ok(values.includes(line), line);
  }
});
