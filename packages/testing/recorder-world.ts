/** A recorder of a term, with a fleet state and a state service, in a simulated world. */
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
import { aFleet } from './samples.js';
import { StateWorld } from './state-world.js';

const HEARTBEAT_INTERVAL_S = 1;
export const RECORDER_LIMITS: StateLimits = {
  rps: 150,
  writeRps: 50,
  valueBytes: 8192,
  txnOps: 24,
};

/** A recorder of a term whose fleet state follows the jobs of the state service; it may take other limits for true. */
export async function aRecorder(
  limits: Partial<StateLimits> = {},
  serviceLimits: Partial<StateLimits> = {},
) {
  const state = await StateWorld.start({ ...RECORDER_LIMITS, ...limits, ...serviceLimits });
  const { store } = state.service;
  const parts = makeRecorder(state, { ...RECORDER_LIMITS, ...limits });
  const { cache, recorder } = parts;
  const record = (job: Job, phase: 'accepted' | 'cancelled') =>
    store.apply([{ put: jobKey(job.id), value: encodeJob({ job, acceptedAtMs: 0, phase }) }]);
  /** Runs until nothing is left to record. */
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

/** The recorder with all that it works on; the fleet state takes each job in that the cache shows. */
function makeRecorder(state: StateWorld, limits: StateLimits) {
  const runtime = state.controller();
  const client = state.client(runtime, { limits });
  const caching = { client, runtime, prefix: JOBS_PREFIX, watchMs: 10_000, syncSpacingMs: 0 };
  const cache = new PrefixCache(caching);
  const jobs = new JobTable(cache, new Cancellations(100, 70));
  const term = state.service.store.apply([{ put: shardKey(0), value: {} }]);
  const fleet = aFleet();
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

/** Reads all jobs. The watch is held up afterwards; what comes later shows to those who ask for it. */
async function loadOnce(state: StateWorld, cache: PrefixCache): Promise<void> {
  const watching = new AbortController();
  void cache.run(watching.signal);
  await state.run(0.1);
  watching.abort();
}

async function flushAll(state: StateWorld, recorder: Recorder, withinS: number): Promise<void> {
  const { signal } = new AbortController();
  const flushPending = async () => {
    while (recorder.hasPendingChanges) await recorder.flush(signal);
  };
  let isOver = false;
  const flushed = flushPending().finally(() => (isOver = true));
  flushed.catch(() => {});
  assert.ok(await state.runUntil(() => isOver, withinS), 'all is recorded in time');
  await flushed;
}
