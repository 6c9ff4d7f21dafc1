/** Composition of a simulated cluster, and the settings files of its controllers. */
import type { MachineType } from '#wire';
import {
  withDefaults,
  type DeploymentSettings,
  type OperatorFile,
  type PlatformSettings,
  type Settings,
} from '#controller';
import type { CapacityLimit, ControllerAddress } from '../stand-ins/index.js';
import {
  type AddressBook,
  controllerName,
  formatAddress,
  SIMULATED_ADDRESSES,
} from './addresses.js';

/** Composition of a simulated cluster. */
export interface ClusterSettings {
  controllers: number;
  /** The part of the platform's settings that all controllers share. */
  deployment: Omit<DeploymentSettings, 'nodes'>;
  operator: OperatorFile;
  machineTypes: MachineType[];
  /** Limits on the machines that the cloud has. */
  capacity: CapacityLimit[];
  /** Fraction of machines on which tasks fail, and fraction that runs much slower than its machine type. */
  faultyMachines: { faultyShare: number; slowShare: number };
  logLevel: 'error' | 'info' | 'debug';
}

/** The settings from which the platform's settings files of all controllers are made. */
export type SharedSettings = Pick<ClusterSettings, 'controllers' | 'deployment'>;

/** The settings of one simulated controller. */
export function controllerSettings(cluster: ClusterSettings, index: number): Settings {
  const platform = platformSettings(cluster, index, SIMULATED_ADDRESSES);
  return { ...platform, operator: withDefaults(cluster.operator, platform) };
}

/** Content of the platform's settings file of one controller. */
export function platformSettings(
  shared: SharedSettings,
  index: number,
  addresses: AddressBook,
): PlatformSettings {
  const { deployment, controllers } = shared;
  const others = Array.from({ length: controllers }, (_, i) => i).filter((i) => i !== index);
  return {
    host_name: controllerName(index),
    zone: zoneOfController(shared, index),
    listen: formatAddress(addresses.service(index)),
    cluster_listen: formatAddress(addresses.peer(index)),
    peers: others.map((i) => ({
      host_name: controllerName(i),
      zone: zoneOfController(shared, i),
      peer_addr: formatAddress(addresses.peer(i)),
    })),
    external: {
      cloud: formatAddress(addresses.cloud),
      state: formatAddress(addresses.state(index)),
    },
    deployment: { ...deployment, nodes: controllers },
  };
}

/** Names and addresses at which workers and users reach the controllers. */
export function controllerAddresses(
  { controllers }: Pick<ClusterSettings, 'controllers'>,
  addresses: AddressBook = SIMULATED_ADDRESSES,
): ControllerAddress[] {
  return Array.from({ length: controllers }, (_, index) => ({
    name: controllerName(index),
    address: formatAddress(addresses.service(index)),
  }));
}

/** Zone of the controller with this index; controllers are spread over the zones in turn. */
export function zoneOfController({ deployment }: SharedSettings, index: number): string {
  return deployment.zones[index % deployment.zones.length];
}

const GPU_TYPE: MachineType = {
  name: 'g8',
  cpus: 96,
  gpus: 8,
  memory: 768,
  cacheGb: 200,
  fetchGbPerS: 1,
  price: 12,
  spotPrice: 4.5,
  bootS: 20,
  zones: ['a', 'b', 'c'],
};

const CPU_TYPE: MachineType = {
  name: 'c32',
  cpus: 32,
  gpus: 0,
  memory: 128,
  cacheGb: 100,
  fetchGbPerS: 1,
  price: 2,
  spotPrice: 0.7,
  bootS: 15,
  zones: ['a', 'b', 'c'],
};

/** Three controllers in three zones, with a cloud of up to twelve machines; base of other cluster settings. */
export const SMALL_CLUSTER: ClusterSettings = {
  controllers: 3,
  deployment: {
    zones: ['a', 'b', 'c'],
    clock_off_ms: 100,
    teams: [
      { name: 'red', cpus: 200, cpus_max: 600, gpus: 24, gpus_max: 64 },
      { name: 'blue', cpus: 200, cpus_max: 600, gpus: 24, gpus_max: 64 },
    ],
    objectives: [{ kind: 'wait', class: 'service', within_s: 10, share: 0.9 }],
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 35 },
    state: { rps: 150, write_rps: 50, value_kb: 8, txn_ops: 24 },
    cloud: { rps: 4, list_lag_s: 4 },
    limits: { cpu_share: 0.5, memory_mb: 200, sockets: 700 },
  },
  operator: {},
  machineTypes: [GPU_TYPE, CPU_TYPE],
  capacity: [{ machines: 12 }],
  faultyMachines: { faultyShare: 0, slowShare: 0 },
  logLevel: 'info',
};

/** Seven controllers in three zones, with a cloud of up to sixty machines. */
export const LARGE_CLUSTER: ClusterSettings = {
  ...SMALL_CLUSTER,
  controllers: 7,
  deployment: {
    ...SMALL_CLUSTER.deployment,
    teams: [
      { name: 'red', cpus: 1000, cpus_max: 3000, gpus: 120, gpus_max: 320 },
      { name: 'blue', cpus: 1000, cpus_max: 3000, gpus: 120, gpus_max: 320 },
    ],
    state: { rps: 500, write_rps: 180, value_kb: 8, txn_ops: 24 },
    cloud: { rps: 8, list_lag_s: 4 },
    limits: { cpu_share: 0.8, memory_mb: 250, sockets: 2000 },
  },
  capacity: [{ machines: 60 }],
};
