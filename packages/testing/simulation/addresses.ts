/** Names and addresses of the simulated hosts. */
import type { HostPort } from '#wire';

/** Address on which the state service listens. */
export const STATE_ADDRESS: HostPort = { host: '10.2.0.1', port: 2379 };
/** Address on which the API of the cloud listens. */
export const CLOUD_ADDRESS: HostPort = { host: '10.2.0.2', port: 8443 };
/** Address on which the load balancer listens. */
export const BALANCER_ADDRESS: HostPort = { host: '10.2.0.3', port: 8080 };
/** Host from which all simulated users connect. */
export const USERS_HOST = '10.3.0.1';
/**
 * Host of the runtime behind what machines share outside the simulated network: the traffic of gangs, and
 * heartbeats and commands that a fault delays.
 */
export const SHARED_SERVICES_HOST = '10.4.0.1';
/** Host of the rule checker, which opens no connections. */
export const CHECKER_HOST = '10.4.0.2';
const WORKER_PORT = 9000;
const SERVICE_PORT = 8080;
const PEER_PORT = 8081;
const MACHINES_PER_SUBNET = 250;

/** Addresses on which controllers listen, and of the outside systems that they call. */
export interface AddressBook {
  /** Address on which the controller with this index, counted from 0, serves workers and users. */
  service(index: number): HostPort;
  /** Address on which the controller with this index serves its peers. */
  peer(index: number): HostPort;
  /** Address at which the controller with this index reaches the state service. */
  state(index: number): HostPort;
  cloud: HostPort;
}

/** Name of the controller with this index, counted from 0. */
export function controllerName(index: number): string {
  return `controller-${index}`;
}

/** Address on which a controller serves workers and users. */
export function serviceAddress(index: number): HostPort {
  return { host: `10.0.0.${index + 1}`, port: SERVICE_PORT };
}

/** Address on which a controller serves its peers. */
function peerAddress(index: number): HostPort {
  return { host: `10.0.0.${index + 1}`, port: PEER_PORT };
}

/** Whether the port is the one on which controllers serve their peers. */
export function isPeerAddress({ port }: HostPort): boolean {
  return port === PEER_PORT;
}

/** Address of a machine, by the number of machines that were provisioned before it. */
export function workerAddress(number: number): HostPort {
  const subnet = Math.floor(number / MACHINES_PER_SUBNET);
  return { host: `10.1.${subnet}.${1 + (number % MACHINES_PER_SUBNET)}`, port: WORKER_PORT };
}

/** The addresses of simulated clusters. */
export const SIMULATED_ADDRESSES: AddressBook = {
  service: serviceAddress,
  peer: peerAddress,
  state: () => STATE_ADDRESS,
  cloud: CLOUD_ADDRESS,
};

/** Formats an address as `host:port`. */
export function formatAddress({ host, port }: HostPort): string {
  return `${host}:${port}`;
}
