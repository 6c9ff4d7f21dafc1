/** The statuses of the peers as a node sees them, falsified by the seeded fault. */
import type { PeerStatus } from '#controller';
import type { LeadershipMistake } from './model.js';
import type { NodeModel, ObservedStatuses } from './node.js';

/** Returns the statuses that the node decides by, with the seeded fault applied. */
export function observedStatuses(
  node: NodeModel,
  seededFault: LeadershipMistake,
): ObservedStatuses {
  const { statusTable, leader } = node;
  return {
    peers: statusTable.all().map((status) => applySeededFault(status, seededFault)),
    leader: applySeededFault(statusTable.get(leader.name) ?? null, seededFault),
  };
}

function applySeededFault(
  status: PeerStatus | null,
  seededFault: LeadershipMistake,
): PeerStatus | null {
  if (status === null) return null;
  const { frame, receivedAt } = status;
  switch (seededFault) {
    case 'trusts-arrival':
      return { ...status, statedAfter: receivedAt };
    case 'trusts-restarted':
      return { ...status, frame: { ...frame, loaded: true } };
    case 'renews-for-the-living':
      return { ...status, frame: { ...frame, mayLead: false } };
    default:
      return status;
  }
}
