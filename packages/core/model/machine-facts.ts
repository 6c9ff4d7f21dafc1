/** Identity and type of a machine. */

/** Properties that identify a machine and decide which tasks fit it. */
export interface MachineFacts {
  name: string;
  /** `host:port` of the worker; empty until its first heartbeat. */
  addr: string;
  /** Name of the machine's type. */
  type: string;
  zone: string;
  /** Whether the machine is a spot instance, which the cloud may reclaim. */
  spot: boolean;
}
