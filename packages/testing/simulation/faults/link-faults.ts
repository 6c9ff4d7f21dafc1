/** Faults that are rules of the network. */
import type { HostFilter, LinkEffect } from '../link-rules.js';
import type { HostRole, SimulatedHost } from '../host.js';
import type { SimulatedNetwork } from '../network.js';
import type { CutFrom, CutMode } from '../scenario.js';

/** Ends a fault. */
type End = () => void;

const ROLES_OF: Record<CutFrom, HostRole[]> = {
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
): End {
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
): End {
  const inside = new Set(hosts);
  const roles = new Set(from.flatMap((kind) => ROLES_OF[kind]));
  // Two of the hosts are cut off from each other as well; only a host's way to itself stays.
  const isFar: HostFilter = (host) => roles.has(host.role);
  const isNear: HostFilter = (host) => inside.has(host);
  return cutBetween(network, isNear, isFar, mode);
}

/** Cuts a zone off from everything outside of it. */
export function cutZone(network: SimulatedNetwork, zone: string, mode: CutMode): End {
  const inZone: HostFilter = (host) => host.zone === zone;
  return cutBetween(network, inZone, (host) => !inZone(host), mode);
}

/** Machines whose heartbeats arrive while answers and direct commands to them are lost. */
export function deafen(network: SimulatedNetwork, machines: SimulatedHost[]): End {
  const isMachine = filterOf(machines);
  const ends = [
    applyBetween(network, isMachine, isController, 'drop-answers'),
    applyBetween(network, isController, isMachine, 'drop'),
  ];
  return () => {
    ends.forEach((end) => {
      end();
    });
  };
}

/** Machines that reach no controller while direct commands reach them. */
export function mute(network: SimulatedNetwork, machines: SimulatedHost[], mode: CutMode): End {
  return applyBetween(network, filterOf(machines), isController, mode);
}

const isController: HostFilter = (host) => host.role === 'controller';

function filterOf(hosts: SimulatedHost[]): HostFilter {
  const set = new Set(hosts);
  return (host) => set.has(host);
}

function applyBetween(
  network: SimulatedNetwork,
  opener: HostFilter,
  acceptor: HostFilter,
  linkEffect: LinkEffect,
): End {
  return network.apply({ opener, acceptor, effect: linkEffect });
}
