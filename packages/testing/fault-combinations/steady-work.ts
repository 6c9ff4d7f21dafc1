/** Base scenario of the fault combinations: a small cluster and work that runs for minutes. */
import {
  SMALL_CLUSTER,
  type ClusterSettings,
  type Fault,
  type Scenario,
} from '../simulation/index.js';
import type { JobClass } from '../stand-ins/index.js';

const { workers } = SMALL_CLUSTER.deployment;

/** Seconds within which all tasks of a cancelled job must have ended. */
export const CANCEL_S = workers.cancel_s;
export const LEASE_S = workers.lease_s;
export const HEARTBEAT_INTERVAL_S = workers.report_s;

const STEADY_CLUSTER: ClusterSettings = { ...SMALL_CLUSTER, capacity: [{ machines: 10 }] };

const UNCONSTRAINED_PLACEMENT = {
  rank: 2,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
};
/** Run times longer than any of these scenarios. */
const LONG_RUN = { medianS: 300, p95S: 360, maxS: 400 };

const LONG_BATCHES: JobClass = {
  template: {
    ...UNCONSTRAINED_PLACEMENT,
    class: 'long-batch',
    kind: 'array',
    cpus: 4,
    gpus: 0,
    memory: 8,
    imageGb: 2,
    checkpointS: 10,
    saveS: 1,
  },
  arrivals: { perMinute: 9, together: [1, 1] },
  tasks: [2, 5],
  run: LONG_RUN,
  cancelledShare: 0,
  mistakenShare: 0,
  images: 2,
};

const REPLICAS: JobClass = {
  ...LONG_BATCHES,
  template: {
    ...LONG_BATCHES.template,
    class: 'replica',
    kind: 'service',
    rank: 1,
    gpus: 1,
    checkpointS: 0,
    saveS: 0,
  },
  arrivals: { perMinute: 6, together: [1, 1] },
  tasks: [1, 3],
};

const LONG_GANGS: JobClass = {
  ...LONG_BATCHES,
  template: { ...LONG_BATCHES.template, class: 'long-gang', kind: 'gang', cpus: 16, gpus: 2 },
  arrivals: { perMinute: 3, together: [1, 1] },
  tasks: [2, 3],
};

const SHORT_BATCHES: JobClass = {
  ...LONG_BATCHES,
  template: { ...LONG_BATCHES.template, class: 'short-batch', rank: 3, cpus: 2 },
  arrivals: { perMinute: 12, together: [1, 1] },
  tasks: [1, 2],
  run: { medianS: 6, p95S: 12, maxS: 15 },
};

const STEADY_CLASSES = [LONG_BATCHES, REPLICAS, LONG_GANGS, SHORT_BATCHES];
/** Enough long work is running from this time on for a fault to affect it. */
export const BUSY_FROM_S = 70;
/** Length of the period at the end of a scenario in which no jobs arrive, in seconds. */
const ARRIVALS_END_BEFORE_S = 20;

/** Makes a scenario whose long work runs from BUSY_FROM_S on while short jobs arrive and end. */
export function steadyScenario(name: string, lengthS: number, faults: Fault[]): Scenario {
  const workload = { classes: STEADY_CLASSES, untilS: lengthS - ARRIVALS_END_BEFORE_S };
  return { name, cluster: STEADY_CLUSTER, workload, faults, lengthS };
}
