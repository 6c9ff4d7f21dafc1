/** Scenarios with replicas of several members, and checks that all these scenarios must pass. */
import assert from 'node:assert/strict';
import { runScenarioWithSeeds } from '../../fault-combinations/run-queries.js';
import { describeAnswer } from '../../simulation/replica-traffic/answers.js';
import {
  type ClusterSettings,
  type Fault,
  type ReplicaPhase,
  type Scenario,
  type ScenarioResult,
  SMALL_CLUSTER,
} from '../../simulation/index.js';
import { type JobClass, jobTemplate } from '../../stand-ins/index.js';

const MEMBERS = 3;
const CLASS = 'label-model';
/** Time by which the first replicas are whole. */
export const REPLICAS_WHOLE_S = 60;
/** Time after the last fault in which all replicas become whole again. */
const RECOVERY_S = 60;
/** Time between two faults, in which the system recovers from the first. */
export const FAULT_INTERVAL_S = 30;

const LABEL_MODELS: JobClass = {
  template: jobTemplate({
    class: CLASS,
    kind: 'service',
    rank: 1,
    cpus: 24,
    gpus: 4,
    memory: 200,
    imageGb: 6,
    types: ['g8'],
  }),
  arrivals: { perMinute: 0.01, together: [1, 1], atStart: 4 },
  tasks: [MEMBERS, MEMBERS],
  run: { medianS: 3000, p95S: 3100, maxS: 3200 },
  cancelledShare: 0,
  mistakenShare: 0,
  images: 2,
};

const SHORT_BATCHES: JobClass = {
  ...LABEL_MODELS,
  template: {
    ...LABEL_MODELS.template,
    class: 'short-batch',
    kind: 'array',
    rank: 3,
    cpus: 2,
    gpus: 0,
    memory: 4,
    imageGb: 1,
    types: null,
  },
  arrivals: { perMinute: 10, together: [1, 1] },
  tasks: [1, 2],
  run: { medianS: 6, p95S: 12, maxS: 15 },
};

export const CLUSTER: ClusterSettings = {
  ...SMALL_CLUSTER,
  deployment: {
    ...SMALL_CLUSTER.deployment,
    teams: SMALL_CLUSTER.deployment.teams.map((team) => ({ ...team, gpus_max: 200, gpus: 100 })),
    objectives: [{ kind: 'wait', class: CLASS, within_s: 20, share: 0.9 }],
  },
  operator: { replicaGroups: { [CLASS]: { members: MEMBERS } }, moves: {} },
  capacity: [{ machines: 16 }],
  logLevel: 'debug',
};

export interface ReplicaScenario {
  name: string;
  faults: Fault[];
  seeds?: number[];
  /** Overrides for the job template of the replicas. */
  template?: Partial<JobClass['template']>;
  /** Overrides for the settings of the cluster. */
  cluster?: Partial<ClusterSettings>;
  /** Replicas may still be broken at the end. */
  allowBrokenAtEnd?: boolean;
}

/**
 * Runs a scenario; no rule may be violated, no answer may be broken, and each fault must occur. All replicas must
 * answer at the end, unless `allowBrokenAtEnd` is set.
 */
export async function runReplicaScenario(
  options: ReplicaScenario,
  check: (result: ScenarioResult) => void,
): Promise<void> {
  const lastFaultEndS = Math.max(...options.faults.map(faultEndS));
  const lengthS = lastFaultEndS + RECOVERY_S;
  const classes = [
    { ...LABEL_MODELS, template: { ...LABEL_MODELS.template, ...options.template } },
    SHORT_BATCHES,
  ];
  const scenario: Scenario = {
    name: options.name,
    cluster: { ...CLUSTER, ...options.cluster },
    workload: { classes, untilS: lengthS - 20 },
    faults: options.faults,
    lengthS,
  };
  await runScenarioWithSeeds(scenario, options.seeds ?? [1, 2], (result) => {
    const { replicas, faults } = result;
    assert.deepEqual(replicas.brokenAnswers.map(describeAnswer), [], 'broken answers');
    assert.equal(replicas.members.generationOverlaps, 0, 'two generations at once');
    for (const fault of options.faults) {
      const occurred = faults.records.some((record) => record.fault === fault);
      assert.ok(occurred, `${fault.kind} at ${fault.atReplicaPhase ?? fault.atS} did not occur`);
    }
    if (!options.allowBrokenAtEnd) assertAllReplicasAnswer(result, lengthS);
    check(result);
  });
}

function faultEndS(fault: Fault): number {
  return fault.atS + ('forS' in fault ? fault.forS : 0);
}

/** Asserts that every replica whose job was not cancelled answered in the last seconds of the run. */
function assertAllReplicasAnswer({ timeline, replicas }: ScenarioResult, lengthS: number): void {
  const cancelled = new Set(timeline.of('cancel-asked').map(({ job }) => job));
  const jobs = timeline
    .of('job-submitted')
    .filter(({ id, job }) => job.class === CLASS && !cancelled.has(id))
    .map(({ id }) => id);
  assert.ok(jobs.length >= 2, `${jobs.length} jobs with replicas`);
  const answering = new Set(
    replicas.answers.filter(({ atS }) => atS > lengthS - 10).map(({ job }) => job),
  );
  assert.deepEqual(
    jobs.filter((job) => !answering.has(job)),
    [],
    'replicas that are not whole at the end',
  );
}

/** Counts how often replica groups reached a phase. */
export function countPhase({ replicaPhases }: ScenarioResult, moment: ReplicaPhase): number {
  return replicaPhases.counts.get(moment) ?? 0;
}

/** The death of one machine of a replica, `afterS` seconds after the first replicas are whole. */
export function replicaMachineDeath(afterS: number): Fault {
  return { kind: 'machine-death', atS: REPLICAS_WHOLE_S + afterS, machines: { ofReplica: 1 } };
}

/** The death of a machine, and a second fault during the repair that follows. */
export function faultDuringRepair(afterS: number, fault: DistributiveOmit<Fault, 'atS'>): Fault[] {
  return [replicaMachineDeath(afterS), { ...fault, atS: REPLICAS_WHOLE_S + afterS } as Fault];
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;
