/** How this controller uses the state service: its client, the share of the rates, and the caches. */
import { JOBS, MAX_VALUE_BYTES, PrefixCache, StateClient, type StateLimits, WORLD } from '#store';
import { type Runtime, StateApi } from '#wire';
import type { StateSettings } from './settings/platform-settings.js';
import type { Settings } from './settings/settings.js';

/** How long the state service may hold a request of a watch. */
const WATCH_TIMEOUT_MS = 10_000;
/** Shares of a heartbeat interval for which changes of jobs gather, at the leader and at followers. */
const LEADER_WATCH_PAUSE_INTERVALS = 1 / 50;
const FOLLOWER_WATCH_PAUSE_INTERVALS = 1 / 2;
/** Share of the state service's rates that one controller may use, among others and alone. */
const STATE_RATE_SHARE = 0.55;
const SINGLE_CONTROLLER_RATE_SHARE = 0.9;
/** Share of a heartbeat interval that queries wait for the read index, and share it. */
const SYNC_SPACING_INTERVALS = 1 / 5;
/** The read indexes of all controllers together take a fifth of the state service's rate at the most. */
const SYNC_RATE_SHARE = 1 / 5;

/** The state service as this controller uses it. */
export interface StateAccess {
  client: StateClient;
  /** Who leads the shard, and which machine types exist. */
  world: PrefixCache;
  /** All jobs. */
  jobs: PrefixCache;
}

/**
 * The limits that all requests keep to: the smaller of those in force now and those to come, since nobody tells
 * when they change.
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

/** Nothing is sent before the caches run; `leading` tells whether this controller leads now. */
export function makeStateAccess(
  runtime: Runtime,
  { external, deployment }: Settings,
  isLeading: () => boolean,
): StateAccess {
  const { nodes, state, workers } = deployment;
  const heartbeatIntervalMs = workers.report_s * 1000;
  const limits = stateLimits(state);
  const api = new StateApi(runtime, external.state, heartbeatIntervalMs);
  const share = nodes === 1 ? SINGLE_CONTROLLER_RATE_SHARE : STATE_RATE_SHARE;
  const client = new StateClient(runtime.clock, api, limits, share);
  const minSpacingMs = (nodes * 1000) / (limits.rps * SYNC_RATE_SHARE);
  const syncSpacingMs = Math.max(minSpacingMs, heartbeatIntervalMs * SYNC_SPACING_INTERVALS);
  const cacheOptions = { client, runtime, watchMs: WATCH_TIMEOUT_MS, syncSpacingMs };
  const watchPauseMs = () =>
    heartbeatIntervalMs *
    (isLeading() ? LEADER_WATCH_PAUSE_INTERVALS : FOLLOWER_WATCH_PAUSE_INTERVALS);
  return {
    client,
    world: new PrefixCache({ ...cacheOptions, prefix: WORLD }),
    jobs: new PrefixCache({ ...cacheOptions, prefix: JOBS, gatherMs: watchPauseMs }),
  };
}
