/** What is fixed about a machine. */

/** What identifies a machine and decides which tasks it may hold. */
export interface MachineFacts {
  name: string;
  /** `host:port` of the worker; empty until its first heartbeat. */
  addr: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  /** A spot instance, which the cloud may reclaim. */
  spot: boolean;
}
