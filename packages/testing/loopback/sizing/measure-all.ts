import { LoopbackCluster } from './cluster.js';
import { fillFleet } from './full-fleet.js';
import type { Measure, MeasuredFigures } from './measurement.js';
import type { MeasurementName } from './measurement-names.js';
import { measureCauses } from './measurements/causes.js';
import { measureArray, measureBurst, measureLargeJobs } from './measurements/peaks.js';
import { measureRestart } from './measurements/restart.js';
import { measureStart } from './measurements/start.js';
import { measureLeader, measureStandby } from './measurements/steady.js';
import { measureTakeOver } from './measurements/failover.js';
import type { SizingOptions } from './options.js';
import { runCommand } from './sources.js';
import { Throttle } from './throttle.js';

/** Receives the progress of a run of measurements. */
export interface Progress {
  /** Called before each measurement, and before the fleet is filled. */
  begins(what: string): void;
  measured(measured: MeasuredFigures): void;
}

interface Plan {
  measure: Measure;
  /** Whether the measurement runs as often as `--repeat` says, and not just once. */
  repeated: boolean;
}

const PLANS: Record<MeasurementName, Plan> = {
  start: { measure: measureStart, repeated: true },
  owner: { measure: measureLeader, repeated: false },
  standby: { measure: measureStandby, repeated: false },
  burst: { measure: measureBurst, repeated: false },
  'large-jobs': { measure: measureLargeJobs, repeated: false },
  array: { measure: measureArray, repeated: false },
  restart: { measure: measureRestart, repeated: true },
  causes: { measure: measureCauses, repeated: false },
  'take-over': { measure: measureTakeOver, repeated: true },
};

/** Runs the selected measurements one after the other on one cluster. */
export async function measureAll(options: SizingOptions, progress: Progress): Promise<void> {
  const cluster = makeCluster(options);
  const throttle = new Throttle(cluster.controllers, options.throttleCores ?? Infinity);
  try {
    progress.begins('filling the fleet');
    await fillFleet(cluster, options);
    if (options.throttleCores !== null) throttle.begin();
    for (const name of options.measurements) {
      const { measure, repeated } = PLANS[name];
      for (let run = 0; run < (repeated ? options.repeat : 1); run++) {
        progress.begins(name);
        for (const measured of await measure(cluster, options)) progress.measured(measured);
      }
    }
  } finally {
    throttle.end();
    await cluster.close();
  }
}

/** Makes the cluster that the options describe, without starting any of its processes and services. */
export function makeCluster({ sources, nodeOptions, logLevel, machines, cluster }: SizingOptions) {
  const command = { directory: sources, command: runCommand(sources, nodeOptions), logLevel };
  return new LoopbackCluster({ shared: cluster, machines, command });
}
