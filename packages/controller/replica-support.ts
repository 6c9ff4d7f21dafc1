/** Connects the package `replicas`, which is loaded only if operators have enabled it, to this controller. */
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

/** Support for replicas that have several members; exists only if operators have enabled replica groups. */
export interface ReplicaSupport {
  /** The shape of the replicas of a newly submitted job; null if each of its tasks is a replica of its own. */
  shapeOf(job: Job): ReplicaShape | null;
  /** The reason why the job's replicas can never be placed, or null. */
  unplaceableReason(job: Job, shape: ReplicaShape, types: MachineType[]): string | null;
  /** Makes the replica groups of a new leader. */
  makeGroups(): ReplicaGroups;
  /** The current state of all replicas, for operators. */
  listReplicas(groups: ReplicaGroups): ReplicaRow[];
  /** Logs an open job that was accepted before replica groups were enabled for its class. */
  logJobWithoutGroups(record: JobRecord): void;
  /** Measurements of replica repairs. */
  readonly metrics: ReplicaMetrics;
}

/** Holds the replica support. It is set before any component runs, and stays null if replica groups are disabled. */
export interface OptionalReplicaSupport {
  support: ReplicaSupport | null;
}

/** Dependencies of the replica support. */
export interface ReplicaSupportOptions {
  runtime: Runtime;
  settings: Settings;
  log: Log;
}

/** Loads the package `replicas`. Must be called only if operators have enabled replica groups. */
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
    logJobWithoutGroups: ({ job, replicas: shape }) => {
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
        log.info({ ...fields, lostBy: group.lastLossCause }, 'replica repair started');
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
