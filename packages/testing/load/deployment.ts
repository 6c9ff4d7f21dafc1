import type { MachineType } from '#wire';

/** What is played around the controller that is loaded. */
export const STATE = { rps: 500, writeRps: 180, valueKb: 8, txnOps: 24 };
export const CLOUD = { rps: 8, listLagS: 4 };
export const TIMES = { reportS: 2.5, leaseS: 15.25, gangWaitS: 45, gangPeerS: 8 };
export const TYPE: MachineType = {
  name: 'std',
  cpus: 96,
  gpus: 8,
  memory: 384,
  cacheGb: 600,
  fetchGbPerS: 5,
  price: 20,
  spotPrice: 6,
  bootS: 60,
  zones: ['a', 'b', 'c'],
};

export interface Addresses {
  /** Of the controller, for workers and users. */
  listen: string;
  cloud: string;
  state: string;
}

/** The settings file of the only controller. */
export function settingsFile({ listen, cloud, state }: Addresses): string {
  return `host_name = "c-0"
zone = "a"
listen = "${listen}"
cluster_listen = "127.0.0.1:18081"
[external]
cloud = "${cloud}"
state = "${state}"
[deployment]
nodes = 1
zones = ["a", "b", "c"]
[[deployment.teams]]
name = "red"
[[deployment.objectives]]
kind = "wait"
class = "replica"
within_s = 4.0
[deployment.workers]
report_s = ${TIMES.reportS}
lease_s = ${TIMES.leaseS}
gang_wait_s = ${TIMES.gangWaitS}
gang_peer_s = ${TIMES.gangPeerS}
cancel_s = 35.0
[deployment.state]
rps = ${STATE.rps}
write_rps = ${STATE.writeRps}
value_kb = ${STATE.valueKb}
txn_ops = ${STATE.txnOps}
[deployment.cloud]
rps = ${CLOUD.rps}
list_lag_s = ${CLOUD.listLagS}
[deployment.limits]
cpu_share = 0.782
memory_mb = 250.0
sockets = 2153
`;
}
