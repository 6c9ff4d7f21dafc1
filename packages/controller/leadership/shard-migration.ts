/** Connects this controller to the package `shards`, which carries out planned moves of the shard. */
import type { ShardMigrator, TransferableLeader } from '#shards';
import { MACHINES_PREFIX, type PrefixCache, PROGRESS_PREFIX } from '#store';
import type { MigrationSettings } from '../settings/operator-settings.js';
import type { LeadershipTerms } from './leadership-terms.js';
import type { ControllerServices } from '../services.js';
import type { StatusExchange } from '../peers/status-exchange.js';

/** Polls of a migration's state per heartbeat interval while no event triggers one. */
const POLLS_PER_HEARTBEAT = 4;

type Services = Pick<
  ControllerServices,
  'runtime' | 'settings' | 'client' | 'election' | 'jobs' | 'log'
>;

/** Dependencies of planned moves of the shard. */
export interface ShardMigrationOptions extends Services {
  /** Cache of the records of the shard and of its moves. */
  world: PrefixCache;
  statuses: StatusExchange;
  terms: LeadershipTerms;
  shard: number;
  /** A controller that has sent no status for this long is unreachable, in seconds. */
  silenceS: number;
}

/** Loads the package and creates the migrator. Must be called only if the operators have switched moves on. */
export async function loadShardMigrator(
  options: ShardMigrationOptions,
  limits: MigrationSettings,
): Promise<ShardMigrator> {
  const { runtime, settings, client, election, jobs, world, shard, terms, log } = options;
  const { ShardMigrator, RecordPrefetch } = await import('#shards');
  const recordPrefetch = new RecordPrefetch(client, [MACHINES_PREFIX, PROGRESS_PREFIX]);
  terms.setRecordReader((prefix, signal) => recordPrefetch.read(prefix, signal));
  return new ShardMigrator({
    runtime,
    client,
    world,
    election,
    name: settings.host_name,
    shard,
    limits,
    pollIntervalMs: (settings.deployment.workers.report_s * 1000) / POLLS_PER_HEARTBEAT,
    leader: () => transferableLeader(terms),
    findObstacle: (controller) => obstacleToLeading(controller, options),
    canLead: () => jobs.cache.isLoaded && !client.isFailing,
    prefetch: recordPrefetch,
    log,
  });
}

/** The interface of this controller's leader that a move uses; null while this controller does not lead. */
function transferableLeader(terms: LeadershipTerms): TransferableLeader | null {
  const leader = terms.leader;
  if (leader === null) return null;
  const { term, recordsLoaded: ready } = leader;
  return {
    term,
    ready,
    pause: () => terms.pause(),
    resume: () => {
      terms.resume();
    },
  };
}

/** The reason why a controller can't become the leader now; null if it can. */
function obstacleToLeading(
  controller: string,
  { runtime, settings, statuses, silenceS }: ShardMigrationOptions,
): string | null {
  const isKnown = settings.peers.some((peer) => peer.host_name === controller);
  if (!isKnown) return `${controller} is no controller of this cluster`;
  const status = statuses.statusOf(controller);
  if (status === null || runtime.clock.now() - status.receivedAt > silenceS) {
    return `${controller} was not heard lately`;
  }
  if (status.frame.refused) return `${controller} is refused by the state service`;
  return status.frame.loaded ? null : `${controller} has not read the jobs yet`;
}
