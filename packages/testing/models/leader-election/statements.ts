import type { PeerStatus } from '#controller';
import type { OwnershipFault } from './model.js';
import type { NodeModel, Statements } from './node.js';

/** What a node goes by, as it takes it with the seeded mistake. */
export function statementsFor(node: NodeModel, fault: OwnershipFault): Statements {
  const { table, holder } = node;
  return {
    peers: table.all().map((status) => distort(status, fault)),
    owner: distort(table.get(holder.name) ?? null, fault),
  };
}

function distort(status: PeerStatus | null, fault: OwnershipFault): PeerStatus | null {
  if (status === null) return null;
  const { frame, receivedAt: heardAt } = status;
  switch (fault) {
    case 'trusts-arrival':
      return { ...status, asOf: heardAt };
    case 'trusts-restarted':
      return { ...status, frame: { ...frame, loaded: true } };
    case 'renews-for-the-living':
      return { ...status, frame: { ...frame, mayLead: false } };
    default:
      return status;
  }
}
