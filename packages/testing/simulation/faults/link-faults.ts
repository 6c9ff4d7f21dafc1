/** Network faults, which add link rules to the simulated network. */
import type { HostFilter, LinkEffect } from '../link-rules.js';
import type { HostRole, SimulatedHost } from '../host.js';
import type { SimulatedNetwork } from '../network.js';
import type { CutFrom, CutMode } from '../scenario.js';

/** Ends a fault by removing its link rules. */
type EndFault = () => void;

const HOST_ROLES: Record<CutFrom, HostRole[]> = {
  state: ['state'],
  cloud: ['cloud'],
  controllers: ['controller'],
  workers: ['worker'],
  users: ['users', 'balancer'],
};

/** Cuts connections between two sets of hosts, whichever side opens them. */
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

/** Cuts each of the hosts off from all other hosts of the given kinds. */
export function cutFrom(
  network: SimulatedNetwork,
  hosts: SimulatedHost[],
  from: CutFrom[],
  mode: CutMode,
): EndFault {
  const selected = new Set(hosts);
  const roles = new Set(from.flatMap((kind) => HOST_ROLES[kind]));
  // The selected hosts are also cut off from each other; only connections of a host to itself remain.
  const hasTargetRole: HostFilter = (host) => roles.has(host.role);
  const isSelected: HostFilter = (host) => selected.has(host);
  return cutBetween(network, isSelected, hasTargetRole, mode);
}

/** Cuts a zone off from all hosts outside the zone. */
export function cutZone(network: SimulatedNetwork, zone: string, mode: CutMode): EndFault {
  const inZone: HostFilter = (host) => host.zone === zone;
  return cutBetween(network, inZone, (host) => !inZone(host), mode);
}

/** Drops the answers and direct commands of controllers to the machines; heartbeats still arrive. */
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

/** Cuts connections from the machines to controllers; direct commands still arrive. */
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
