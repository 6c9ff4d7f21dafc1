/** Scenarios with replicas of several members, and what tests ask of all of them. */
import assert from 'node:assert/strict';
import { playMeeting } from '../../fault-combinations/run-queries.js';
import { describeAnswer } from '../../simulation/replica-traffic/answers.js';
import {
  type ClusterSettings,
  type Fault,
  type ReplicaMoment,
  type Scenario,
  type ScenarioResult,
  SMALL_CLUSTER,
} from '../../simulation/index.js';
import { type JobClass, jobTemplate } from '../../stand-ins/index.js';

const MEMBERS = 3;
const CLASS = 'label-model';
/** By then the first replicas are whole. */
export const REPLICAS_WHOLE_S = 60;
/** After the last fault, until all replicas are whole again. */
const RECOVERY_S = 60;
/** From one fault to the next, so that what it did is over. */
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
  /** Changes of the class of replicas, and of the cluster. */
  template?: Partial<JobClass['template']>;
  cluster?: Partial<ClusterSettings>;
  /** All replicas need not be whole at the end. */
  allowBrokenAtEnd?: boolean;
}

/** Plays it: no rule and no answer may be broken, and in the end all replicas are whole and answer. */
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
  await playMeeting(scenario, options.seeds ?? [1, 2], (result) => {
    const { replicas, faults } = result;
    assert.deepEqual(replicas.broken.map(describeAnswer), [], 'broken answers');
    assert.equal(replicas.members.generationsAtOnce, 0, 'two generations at once');
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

/** Every replica whose job was accepted and not cancelled has answered shortly before the end. */
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

/** How often a phase was reached. */
export function countPhase({ replicaMoments }: ScenarioResult, moment: ReplicaMoment): number {
  return replicaMoments.counts.get(moment) ?? 0;
}

/** A machine of a replica ends, so many seconds after the replicas are whole. */
export function replicaMachineDeath(afterS: number): Fault {
  return { kind: 'machine-death', atS: REPLICAS_WHOLE_S + afterS, machines: { ofReplica: 1 } };
}

/** Another fault that waits for a phase of the repair that the death brings. */
export function faultDuringRepair(afterS: number, fault: DistributiveOmit<Fault, 'atS'>): Fault[] {
  return [replicaMachineDeath(afterS), { ...fault, atS: REPLICAS_WHOLE_S + afterS } as Fault];
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;
