/** Settings of the fleet's state. */

/** Settings that the fleet's state uses. Durations are in seconds. */
export interface FleetSettings {
  /** Duration of a worker's lease. */
  leaseS: number;
  /** Time from one heartbeat of a worker to the next. */
  heartbeatIntervalS: number;
  /** How long the tasks of a gang that is being stopped wait for each other. */
  gangPeerS: number;
  /** How long a former leader may continue to answer heartbeats after losing its term. */
  formerLeaderS: number;
  /** Half-life of the service that a job has received. */
  halfLifeS: number;
  /** Maximum size of a machine's record in bytes of JSON. */
  machineRecordBytes: number;
}
