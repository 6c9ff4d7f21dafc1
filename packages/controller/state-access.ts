/** Access of this controller to the state service: the client, its share of the rates, and the caches. */
import {
  JOBS_PREFIX,
  MAX_VALUE_BYTES,
  PrefixCache,
  StateClient,
  type StateLimits,
  CLUSTER_PREFIX,
} from '#store';
import { type Runtime, StateApi } from '#wire';
import type { StateSettings } from './settings/platform-settings.js';
import type { Settings } from './settings/settings.js';

/** Time for which the state service may hold a watch request open, in milliseconds. */
const WATCH_TIMEOUT_MS = 10_000;
/** Pause between two watch answers about jobs, in heartbeat intervals, at the leader and at followers. */
const LEADER_WATCH_PAUSE_INTERVALS = 1 / 50;
const FOLLOWER_WATCH_PAUSE_INTERVALS = 1 / 2;
/** Share of the state service's rates that a controller may use, with other controllers and without. */
const STATE_RATE_SHARE = 0.55;
const SINGLE_CONTROLLER_RATE_SHARE = 0.9;
/** Spacing of read-index requests, in heartbeat intervals. Queries in between wait and share the next one. */
const SYNC_SPACING_INTERVALS = 1 / 5;
/** Limit of the share of the state service's rate that the read-index requests of all controllers use together. */
const SYNC_RATE_SHARE = 1 / 5;

/**
 * Share of the memory that an answer with changes may have. Decoded it takes several times as much. A controller that has
 * missed more changes reads the records again, page by page.
 */
const CHANGES_MEMORY_SHARE = 1 / 64;
const BYTES_PER_MB = 2 ** 20;

/** The client of the state service and the caches of its records. */
export interface StateAccess {
  client: StateClient;
  /** Cache of the shard's leader and of the machine types. */
  world: PrefixCache;
  /** Cache of all jobs. */
  jobs: PrefixCache;
}

/**
 * The limits for all requests to the state service: the smaller ones of the current and the announced future
 * limits, since the time of the change is not announced.
 */
export function stateLimits({ next = {}, ...now }: StateSettings): StateLimits {
  return {
    rps: Math.min(now.rps, next.rps ?? Infinity),
    writeRps: Math.min(now.write_rps, next.write_rps ?? Infinity),
    valueBytes: valueBytes(Math.min(now.value_kb, next.value_kb ?? Infinity)),
    txnOps: Math.min(now.txn_ops, next.txn_ops ?? Infinity),
    layoutBytes: valueBytes(now.value_kb),
  };
}

function valueBytes(valueKb: number): number {
  return Math.min(MAX_VALUE_BYTES, Math.floor(valueKb * 1024));
}

/**
 * Makes the client and the caches. They send nothing until the caches run. `isLeading` returns whether this
 * controller leads now.
 */
export function makeStateAccess(
  runtime: Runtime,
  { external, deployment }: Settings,
  isLeading: () => boolean,
): StateAccess {
  const { nodes, state, workers, limits: processLimits } = deployment;
  const heartbeatIntervalMs = workers.report_s * 1000;
  const limits = stateLimits(state);
  const maxChangesBytes = processLimits.memory_mb * BYTES_PER_MB * CHANGES_MEMORY_SHARE;
  const api = new StateApi(runtime, external.state, heartbeatIntervalMs);
  const share = nodes === 1 ? SINGLE_CONTROLLER_RATE_SHARE : STATE_RATE_SHARE;
  const client = new StateClient(runtime.clock, api, limits, share);
  const minSpacingMs = (nodes * 1000) / (limits.rps * SYNC_RATE_SHARE);
  const syncSpacingMs = Math.max(minSpacingMs, heartbeatIntervalMs * SYNC_SPACING_INTERVALS);
  const watchMs = WATCH_TIMEOUT_MS;
  const cacheOptions = { client, runtime, watchMs, syncSpacingMs, maxChangesBytes };
  const watchPauseMs = () =>
    heartbeatIntervalMs *
    (isLeading() ? LEADER_WATCH_PAUSE_INTERVALS : FOLLOWER_WATCH_PAUSE_INTERVALS);
  return {
    client,
    world: new PrefixCache({ ...cacheOptions, prefix: CLUSTER_PREFIX }),
    jobs: new PrefixCache({ ...cacheOptions, prefix: JOBS_PREFIX, watchPauseMs }),
  };
}
