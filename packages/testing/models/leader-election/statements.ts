/** The statements of peers, falsified by a seeded mistake. */
import type { PeerStatus } from '#controller';
import type { LeadershipMistake } from './model.js';
import type { NodeModel, Statements } from './node.js';

/** The statements that a node relies on, under the seeded mistake. */
export function statementsFor(node: NodeModel, fault: LeadershipMistake): Statements {
  const { table, leader } = node;
  return {
    peers: table.all().map((status) => distort(status, fault)),
    leader: distort(table.get(leader.name) ?? null, fault),
  };
}

function distort(status: PeerStatus | null, fault: LeadershipMistake): PeerStatus | null {
  if (status === null) return null;
  const { frame, receivedAt: receivedAt } = status;
  switch (fault) {
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
