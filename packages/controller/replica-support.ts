/** Joins the package `replicas`, loaded only if operators have switched it on, to this controller. */
import type { ReplicaShape } from '#core';
import type {
  ReplicaGroup,
  ReplicaClasses,
  ReplicaGroups,
  ReplicaListener,
  ReplicaRow,
} from '#replicas';
import type { JobRecord } from '#store';
import type { Job, MachineType, Runtime } from '#wire';
import type { Log } from './observability/log.js';
import { ReplicaMetrics } from './observability/replica-metrics.js';
import type { Settings } from './settings/settings.js';

/** What this controller does about replicas of several members, while operators have switched them on. */
export interface ReplicaSupport {
  /** How the tasks of a job that is submitted now form replicas; null if each is by itself. */
  shapeOf(job: Job): ReplicaShape | null;
  /** Why the job's replicas can never be placed, or null. */
  unplaceableReason(job: Job, shape: ReplicaShape, types: MachineType[]): string | null;
  /** The replica groups of a new leader. */
  makeGroups(): ReplicaGroups;
  /** The replicas as operators see them now. */
  listReplicas(groups: ReplicaGroups): ReplicaRow[];
  /** Logs an open job that was accepted while each task of its class was a replica by itself. */
  recordJob(record: JobRecord): void;
  /** What was measured of repairs. */
  readonly metrics: ReplicaMetrics;
}

/** Filled before any component runs, if operators have switched replica groups on. */
export interface OptionalReplicaSupport {
  support: ReplicaSupport | null;
}

/** What replica support takes of this controller. */
export interface ReplicaSupportOptions {
  runtime: Runtime;
  settings: Settings;
  log: Log;
}

/** Loads the package `replicas`; to be called only if operators have switched it on. */
export async function loadReplicaSupport(
  { runtime, settings, log }: ReplicaSupportOptions,
  classes: ReplicaClasses,
): Promise<ReplicaSupport> {
  const replicas = await import('#replicas');
  const { lease_s: leaseS, report_s: heartbeatIntervalS } = settings.deployment.workers;
  const metrics = new ReplicaMetrics();
  return {
    metrics,
    shapeOf: (job) => replicas.replicaShapeOf(job, classes),
    unplaceableReason: replicas.unplaceableReason,
    recordJob: ({ job, replicas: shape }) => {
      if (shape || replicas.replicaShapeOf(job, classes) === null) return;
      log.info({ job: job.id, class: job.class }, 'job predates its replica groups');
    },
    listReplicas: (groups) => replicas.replicaRows(groups, runtime.clock.now()),
    makeGroups: () =>
      new replicas.ReplicaGroups({
        leaseS,
        heartbeatIntervalS,
        random: () => runtime.random(),
        listener: makeReplicaListener(log, metrics),
      }),
  };
}

function makeReplicaListener(log: Log, metrics: ReplicaMetrics): ReplicaListener {
  return {
    phaseChanged: ({ group, from, to, reason }) => {
      const machines = [...group.assignments()].map(({ machine }) => machine.name);
      const fields = { ...replicaLogFields(group), from, to, reason, machines };
      if (to === 'repairing')
        log.info({ ...fields, lostBy: group.lostBy }, 'replica repair started');
      else log.debug(fields, 'replica phase changed');
    },
    recovered: ({ group, reason, tookS }) => {
      metrics.recovered(reason, tookS);
      const tookMs = Math.round(tookS * 1000);
      log.info({ ...replicaLogFields(group), reason, tookMs }, 'replica recovered');
    },
  };
}

function replicaLogFields({ job, index, state }: ReplicaGroup) {
  return { job: job.spec.id, replica: index, generation: state.generation };
}
