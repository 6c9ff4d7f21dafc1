/** Decides whether this controller lets the others campaign first for a shard without a leader. */
import type { Clock } from '#wire';
import type { StatusExchange } from '../peers/status-exchange.js';
import type { PlatformSettings } from '../settings/platform-settings.js';
import { leaderLeaseLimits } from './leader-lease.js';
import { wouldLoseWorkerLeases, nextControllerForWorkers } from './leader-reachability.js';

/** True if the controller that workers would try after this one is unreachable while another peer is reachable. */
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
