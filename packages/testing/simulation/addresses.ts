/** Names and addresses of the simulated hosts. */
import type { HostPort } from '#wire';

/** Where the state service listens. */
export const STATE_ADDRESS: HostPort = { host: '10.2.0.1', port: 2379 };
/** Where the cloud listens. */
export const CLOUD_ADDRESS: HostPort = { host: '10.2.0.2', port: 8443 };
/** Where the load balancer listens. */
export const BALANCER_ADDRESS: HostPort = { host: '10.2.0.3', port: 8080 };
/** The host of all users. */
export const USERS_HOST = '10.3.0.1';
/** Host of what machines share without the network: gangs and messages that are held up. */
export const SHARED_SERVICES_HOST = '10.4.0.1';
/** The host of the rule checker, which opens no connections. */
export const CHECKER_HOST = '10.4.0.2';
const WORKER_PORT = 9000;
const SERVICE_PORT = 8080;
const PEER_PORT = 8081;
const MACHINES_PER_SUBNET = 250;

/** Where the controllers of a cluster listen, and where they reach the outside systems. */
export interface AddressBook {
  /** Where the controller with this index, counted from 0, serves workers and users. */
  service(index: number): HostPort;
  /** Where it serves its peers. */
  peer(index: number): HostPort;
  /** Where it reaches the state service. */
  state(index: number): HostPort;
  cloud: HostPort;
}

/** The name of the controller with this index, counted from 0. */
export function controllerName(index: number): string {
  return `controller-${index}`;
}

/** Where a controller serves workers and users. */
export function serviceAddress(index: number): HostPort {
  return { host: `10.0.0.${index + 1}`, port: SERVICE_PORT };
}

/** Where a controller serves its peers. */
function peerAddress(index: number): HostPort {
  return { host: `10.0.0.${index + 1}`, port: PEER_PORT };
}

/** Whether controllers serve their peers there. */
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

/** The address as `host:port`. */
export function formatAddress({ host, port }: HostPort): string {
  return `${host}:${port}`;
}
