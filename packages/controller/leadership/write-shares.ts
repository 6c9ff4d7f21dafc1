/** Divides the state service's limit on the rate of changes among the controllers. */
import type { StateClient } from '#store';

/**
 * Shares of the rate for the leader: `least` is reserved for the leader, which may use up to `most` while the other
 * controllers leave capacity unused.
 */
const LEADER_WRITE_SHARES = { least: 0.6, most: 0.8 };
/** Maximum share of the rate for one follower. */
const FOLLOWER_MAX_SHARE = 0.3;
/** Share of the rate that is reserved for all followers together. */
const ALL_FOLLOWERS_MIN_SHARE = 0.3;

/**
 * Sets this controller's share of the rate for its current role. The leader gets the larger share because it writes
 * nearly all changes. A controller without peers keeps the whole rate.
 */
export function applyWriteShares(
  client: Pick<StateClient, 'setChangeShares'>,
  nodes: number,
  leads: boolean,
): void {
  const others = nodes - 1;
  if (others === 0) return;
  const least = Math.min(FOLLOWER_MAX_SHARE, ALL_FOLLOWERS_MIN_SHARE / others);
  client.setChangeShares(leads ? LEADER_WRITE_SHARES : { least, most: FOLLOWER_MAX_SHARE });
}
