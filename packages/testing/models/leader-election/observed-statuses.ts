/** The statuses of the peers as a node sees them, falsified by the seeded fault. */
import type { PeerStatus } from '#controller';
import type { SeededLeadershipFault } from './model.js';
import type { NodeModel, ObservedStatuses } from './node.js';

/** Returns the statuses that the node decides by, with the seeded fault applied. */
export function observedStatuses(
  node: NodeModel,
  seededFault: SeededLeadershipFault,
): ObservedStatuses {
  const { statusTable, leader } = node;
  return {
    peers: statusTable.all().map((status) => applySeededFault(status, seededFault)),
    leader: applySeededFault(statusTable.get(leader.name) ?? null, seededFault),
  };
}

function applySeededFault(
  status: PeerStatus | null,
  seededFault: SeededLeadershipFault,
): PeerStatus | null {
  if (status === null) return null;
  const { frame, receivedAt } = status;
  switch (seededFault) {
    case 'trusts-arrival-time':
      return { ...status, statedAfter: receivedAt };
    case 'trusts-restarted-peer':
      return { ...status, frame: { ...frame, loaded: true } };
    case 'renews-for-live-leader':
      return { ...status, frame: { ...frame, mayLead: false } };
    default:
      return status;
  }
}
