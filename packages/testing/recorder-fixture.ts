/** A test fixture: the recorder of a term with a fleet state and a simulated state service. */
import assert from 'node:assert/strict';
import { pino } from 'pino';
import {
  encodeJob,
  jobKey,
  JOBS_PREFIX,
  MACHINES_PREFIX,
  type MachineRecord,
  shardKey,
  PrefixCache,
} from '#store';
import type { StateLimits } from '#store';
import type { Job } from '#wire';
import { Cancellations } from '../controller/peers/cancellations.js';
import { JobTable } from '../controller/jobs/job-table.js';
import { Recorder } from '../controller/records/recorder.js';
import { makeFleet } from './samples.js';
import { StateServiceFixture } from './state-service-fixture.js';

const HEARTBEAT_INTERVAL_S = 1;
export const RECORDER_LIMITS: StateLimits = {
  rps: 150,
  writeRps: 50,
  valueBytes: 8192,
  txnOps: 24,
};

/**
 * Starts a recorder whose fleet state follows the jobs in the state service. `limits` apply to the recorder and the
 * service, `serviceLimits` to the service only.
 */
export async function startRecorder(
  limits: Partial<StateLimits> = {},
  serviceLimits: Partial<StateLimits> = {},
) {
  const state = await StateServiceFixture.start({
    ...RECORDER_LIMITS,
    ...limits,
    ...serviceLimits,
  });
  const { store } = state.service;
  const parts = createRecorderParts(state, { ...RECORDER_LIMITS, ...limits });
  const { cache, recorder } = parts;
  const record = (job: Job, phase: 'accepted' | 'cancelled') =>
    store.apply([{ put: jobKey(job.id), value: encodeJob({ job, acceptedAtMs: 0, phase }) }]);
  /** Runs until the recorder has nothing pending. */
  const flush = (withinS = 10) => flushAll(state, recorder, withinS);
  const tasksOn = (name: string) =>
    (store.get(MACHINES_PREFIX + name)?.value as MachineRecord | undefined)?.tasks.map(
      ([job]) => job,
    );
  await loadOnce(state, cache);
  const sync = async () => {
    void cache.sync();
    await state.run(0.1);
  };
  return { state, store, ...parts, record, sync, flush, tasksOn };
}

/** Creates the recorder and its dependencies; each job record that reaches the cache is added to the fleet state. */
function createRecorderParts(state: StateServiceFixture, limits: StateLimits) {
  const runtime = state.controller();
  const client = state.client(runtime, { limits });
  const cacheOptions = { client, runtime, prefix: JOBS_PREFIX, watchMs: 10_000, syncSpacingMs: 0 };
  const cache = new PrefixCache(cacheOptions);
  const jobs = new JobTable(cache, new Cancellations(100, 70));
  const term = state.service.store.apply([{ put: shardKey(0), value: {} }]);
  const fleet = makeFleet({ term });
  const recorder = new Recorder({
    runtime,
    client,
    fleet,
    jobs,
    term: { shard: 0, term, leaseId: 0, electedAt: 0 },
    heartbeatIntervalS: HEARTBEAT_INTERVAL_S,
    log: pino({ enabled: false }),
  });
  jobs.events.subscribe((event) => {
    if (event.kind !== 'record') return;
    const { job, phase } = event.record;
    fleet.addJob(job, 0, phase, state.now);
    if (phase !== 'accepted') recorder.jobRecords.markJobEnded(job);
  });
  return { client, cache, fleet, recorder, term };
}

/** Loads all jobs into the cache and ends its watch; later changes reach the cache only through `sync`. */
async function loadOnce(state: StateServiceFixture, cache: PrefixCache): Promise<void> {
  const watching = new AbortController();
  void cache.run(watching.signal);
  await state.run(0.1);
  watching.abort();
}

async function flushAll(
  state: StateServiceFixture,
  recorder: Recorder,
  withinS: number,
): Promise<void> {
  const { signal } = new AbortController();
  const flushPending = async () => {
    while (recorder.hasPendingChanges) await recorder.flush(signal);
  };
  let isFlushed = false;
  const flushed = flushPending().finally(() => (isFlushed = true));
  flushed.catch(() => {});
  assert.ok(await state.runUntil(() => isFlushed, withinS), 'everything is recorded in time');
  await flushed;
}
