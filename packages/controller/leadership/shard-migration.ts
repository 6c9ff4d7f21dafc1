import type { ShardMigrator } from '#shards';
import { MACHINES, type PrefixCache, PROGRESS } from '#store';
import type { MoveSettings } from '../settings/operator-settings.js';
import type { LeadershipTerms } from './leadership-terms.js';
import type { ControllerServices } from '../services.js';
import type { StatusExchange } from '../peers/status-exchange.js';

/** Looks in a report period if nothing happens. */
const POLLS_PER_HEARTBEAT = 4;

export interface ShardMigrationOptions extends ControllerServices {
  /** Holds the records of the part and of its moves. */
  world: PrefixCache;
  statuses: StatusExchange;
  terms: LeadershipTerms;
  shard: number;
  /** A controller that was not heard for this long is out of reach; seconds. */
  silenceS: number;
}

/** Loads what carries out planned moves of the part; to be called only if the operators have switched them on. */
export async function loadShardMigrator(
  options: ShardMigrationOptions,
  limits: MoveSettings,
): Promise<ShardMigrator> {
  const { settings, terms, jobs, client } = options;
  const { ShardMigrator, RecordsAhead } = await import('#shards');
  const ahead = new RecordsAhead(client, [MACHINES, PROGRESS]);
  terms.readRecordsWith((prefix, signal) => ahead.read(prefix, signal));
  return new ShardMigrator({
    ...options,
    name: settings.host_name,
    limits,
    pollIntervalMs: (settings.deployment.workers.report_s * 1000) / POLLS_PER_HEARTBEAT,
    leader: () => transferableLeader(terms),
    obstacle: (controller) => obstacleTo(controller, options),
    canLead: () => jobs.cache.ready && !client.failing,
    ahead,
  });
}

function transferableLeader(terms: LeadershipTerms) {
  const leader = terms.current;
  if (leader === null) return null;
  const { term, ready } = leader;
  return { term, ready, pause: () => terms.pause(), resume: () => terms.resume() };
}

/** What keeps a controller from becoming the owner now; null if nothing does. */
function obstacleTo(
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
