/** How the controllers divide the state service's rate of changes. */
import type { StateClient } from '#store';

/** Shares of the rate that the leader has to itself, and that it may use of what others leave. */
const LEADER_WRITE_SHARES = { least: 0.6, most: 0.8 };
/** Most that a follower may use. */
const FOLLOWER_MAX_SHARE = 0.3;
/** What all followers together have to themselves. */
const ALL_FOLLOWERS_MIN_SHARE = 0.3;

/**
 * Sets this controller's share for its present role. The leader's records are nearly all changes that there
 * are, so it gets the larger part. A controller without others keeps the whole rate.
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
