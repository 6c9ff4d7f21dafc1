/** The settings that the fleet's state works by. */

/** What the fleet's state takes from the settings. Durations are in seconds. */
export interface FleetSettings {
  /** The workers' lease. */
  leaseS: number;
  /** Time from one heartbeat of a worker to the next. */
  heartbeatIntervalS: number;
  /** For how long tasks of a gang that is being stopped wait for each other. */
  gangPeerS: number;
  /** How long a former leader may have gone on answering after losing its term. */
  formerLeaderS: number;
  /** Half-life of service received. */
  halfLifeS: number;
  /** Bytes in JSON that the record of a machine may have. */
  machineRecordBytes: number;
}
