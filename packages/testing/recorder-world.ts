/** A recorder of a term, with a fleet state and a state service, in a simulated world. */
import assert from 'node:assert/strict';
import { pino } from 'pino';
import {
  encodeJob,
  jobKey,
  JOBS,
  MACHINES,
  type MachineRecord,
  partKey,
  PrefixCache,
} from '#store';
import type { StateLimits } from '#store';
import type { Job } from '#wire';
import { Cancellations } from '../controller/cancellations.js';
import { JobTable } from '../controller/jobs.js';
import { Recorder } from '../controller/recorder.js';
import { aFleet } from './samples.js';
import { StateWorld } from './state-world.js';

const REPORT_S = 1;
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
  const runtime = state.controller();
  const client = state.client(runtime, { limits: { ...RECORDER_LIMITS, ...limits } });
  const caching = { client, runtime, prefix: JOBS, watchMs: 10_000, syncSpacingMs: 0 };
  const cache = new PrefixCache(caching);
  const jobs = new JobTable(cache, new Cancellations(100, 70));
  const term = store.apply([{ put: partKey(0), value: {} }]);
  const fleet = aFleet();
  const stop = new AbortController();
  const recorder = new Recorder({
    runtime,
    client,
    fleet,
    jobs,
    term: { part: 0, term, grant: 0, claimedAt: 0 },
    reportS: REPORT_S,
    log: pino({ enabled: false }),
  });
  jobs.changed.subscribe(({ job, phase }) => {
    fleet.addJob(job, 0, phase, state.now);
    if (phase !== 'accepted') recorder.jobRecords.over(job);
  });
  const record = (job: Job, phase: 'accepted' | 'aborted') =>
    store.apply([{ put: jobKey(job.id), value: encodeJob({ job, acceptedAtMs: 0, phase }) }]);
  const flushAll = async () => {
    while (recorder.pending) await recorder.flush(stop.signal);
  };
  /** Runs until nothing is left to record. */
  const flush = async (withinS = 10) => {
    let isOver = false;
    const flushed = flushAll().finally(() => (isOver = true));
    flushed.catch(() => {});
    assert.ok(await state.runUntil(() => isOver, withinS), 'all is recorded in time');
    await flushed;
  };
  const tasksOn = (name: string) =>
    (store.get(MACHINES + name)?.value as MachineRecord | undefined)?.tasks.map(([job]) => job);
  // The watch is held up after the first load; what comes later shows to those who ask for it.
  const watching = new AbortController();
  void cache.run(watching.signal);
  await state.run(0.1);
  watching.abort();
  const sync = async () => {
    void cache.sync();
    await state.run(0.1);
  };
  return { state, client, store, fleet, recorder, record, sync, flush, tasksOn, term };
}
