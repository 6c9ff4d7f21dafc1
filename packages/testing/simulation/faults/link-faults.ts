/** Faults that are rules of the network. */
import type { HostFilter, LinkEffect } from '../link-rules.js';
import type { HostRole, SimulatedHost } from '../host.js';
import type { SimulatedNetwork } from '../network.js';
import type { CutFrom, CutMode } from '../scenario.js';

/** Ends a fault. */
type EndFault = () => void;

const HOST_ROLES: Record<CutFrom, HostRole[]> = {
  state: ['state'],
  cloud: ['cloud'],
  controllers: ['controller'],
  workers: ['worker'],
  users: ['users', 'balancer'],
};

/** Cuts the hosts of one kind off from those of another, whoever opens the connection. */
function cutBetween(
  network: SimulatedNetwork,
  one: HostFilter,
  other: HostFilter,
  mode: CutMode,
): EndFault {
  const ends = [
    network.apply({ opener: one, acceptor: other, effect: mode }),
    network.apply({ opener: other, acceptor: one, effect: mode }),
  ];
  return () => {
    ends.forEach((end) => {
      end();
    });
  };
}

/** Cuts some hosts off from all hosts of these kinds but themselves. */
export function cutFrom(
  network: SimulatedNetwork,
  hosts: SimulatedHost[],
  from: CutFrom[],
  mode: CutMode,
): EndFault {
  const selected = new Set(hosts);
  const roles = new Set(from.flatMap((kind) => HOST_ROLES[kind]));
  // Two of the hosts are cut off from each other as well; only a host's way to itself stays.
  const hasTargetRole: HostFilter = (host) => roles.has(host.role);
  const isSelected: HostFilter = (host) => selected.has(host);
  return cutBetween(network, isSelected, hasTargetRole, mode);
}

/** Cuts a zone off from everything outside of it. */
export function cutZone(network: SimulatedNetwork, zone: string, mode: CutMode): EndFault {
  const inZone: HostFilter = (host) => host.zone === zone;
  return cutBetween(network, inZone, (host) => !inZone(host), mode);
}

/** Machines whose heartbeats arrive while answers and direct commands to them are lost. */
export function dropInbound(network: SimulatedNetwork, machines: SimulatedHost[]): EndFault {
  const isMachine = matchAny(machines);
  const ends = [
    applyRule(network, isMachine, isController, 'drop-answers'),
    applyRule(network, isController, isMachine, 'drop'),
  ];
  return () => {
    ends.forEach((end) => {
      end();
    });
  };
}

/** Machines that reach no controller while direct commands reach them. */
export function cutOutbound(
  network: SimulatedNetwork,
  machines: SimulatedHost[],
  mode: CutMode,
): EndFault {
  return applyRule(network, matchAny(machines), isController, mode);
}

const isController: HostFilter = (host) => host.role === 'controller';

function matchAny(hosts: SimulatedHost[]): HostFilter {
  const set = new Set(hosts);
  return (host) => set.has(host);
}

function applyRule(
  network: SimulatedNetwork,
  opener: HostFilter,
  acceptor: HostFilter,
  linkEffect: LinkEffect,
): EndFault {
  return network.apply({ opener, acceptor, effect: linkEffect });
}
