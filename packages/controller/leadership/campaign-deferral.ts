/** Whether this controller leaves a free shard to the others first. */
import type { Clock } from '#wire';
import type { StatusExchange } from '../peers/status-exchange.js';
import type { PlatformSettings } from '../settings/platform-settings.js';
import { leaderLeaseLimits } from './leader-lease.js';
import { wouldLoseWorkerLeases, nextControllerForWorkers } from './leader-reachability.js';

/** True if the controller that our workers would try after us is unreachable, while others are reachable. */
export function defersCampaign(
  clock: Clock,
  settings: PlatformSettings,
  statuses: StatusExchange,
): boolean {
  const names = settings.peers.map((peer) => peer.host_name);
  const next = nextControllerForWorkers(settings.host_name, names);
  return wouldLoseWorkerLeases(next === null ? null : statuses.statusOf(next), {
    now: clock.now(),
    peers: statuses.statuses(),
    silenceS: leaderLeaseLimits(settings).silenceS,
  });
}
