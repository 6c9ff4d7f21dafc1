/** Scenarios in which pipelines of dependent jobs run beside the steady work of the other fault combinations. */
import type { ClusterSettings, Fault, Scenario } from '../simulation/index.js';
import { type JobClass, jobTemplate, type Pipeline } from '../stand-ins/index.js';
import { steadyScenario } from './steady-work.js';

const STAGE: JobClass = {
  template: jobTemplate({
    class: 'stage',
    kind: 'array',
    rank: 3,
    cpus: 1,
    gpus: 0,
    memory: 2,
    imageGb: 0.5,
  }),
  arrivals: { perMinute: 0, together: [1, 1] },
  tasks: [1, 5],
  run: { medianS: 4, p95S: 8, maxS: 10 },
  cancelledShare: 0,
  mistakenShare: 0,
  images: 2,
};
const JOINING_STAGE: JobClass = {
  ...STAGE,
  template: { ...STAGE.template, class: 'joining-stage', kind: 'gang', rank: 2, oneZone: true },
  tasks: [2, 3],
};
const LAST_STAGE: JobClass = {
  ...STAGE,
  template: { ...STAGE.template, class: 'last-stage', rank: 1 },
};

/**
 * A first job, two jobs that depend on it, a gang that depends on both, and an urgent last job that
 * depends on the gang and the first job.
 */
export const DIAMOND: Pipeline = {
  stages: [
    { jobClass: STAGE, jobs: [1, 1], awaits: [] },
    { jobClass: STAGE, jobs: [2, 2], awaits: [0] },
    { jobClass: JOINING_STAGE, jobs: [1, 1], awaits: [1] },
    { jobClass: LAST_STAGE, jobs: [1, 1], awaits: [2, 0] },
  ],
  arrivals: { perMinute: 20, together: [1, 1] },
  lateShare: 0.15,
  cancelledShare: 0.25,
  deadlineS: 60,
};

/** Length of the period at the end of a scenario in which no pipeline begins, in seconds. */
const LAST_PIPELINES_S = 60;

/** Differences from the usual scenario of dependent jobs. */
export interface DependentJobsOptions {
  pipeline?: Partial<Pipeline>;
  /** Returns changed settings of the cluster. */
  cluster?: (cluster: ClusterSettings) => ClusterSettings;
}

/** Makes a scenario of steady work and many pipelines. */
export function dependentJobsScenario(
  name: string,
  lengthS: number,
  faults: Fault[],
  { pipeline, cluster = (unchanged) => unchanged }: DependentJobsOptions = {},
): Scenario {
  const steady = steadyScenario(name, lengthS, faults);
  const workload = {
    ...steady.workload,
    untilS: lengthS - LAST_PIPELINES_S,
    intensity: 0.5,
    pipelines: [{ ...DIAMOND, ...pipeline }],
  };
  return { ...steady, cluster: cluster(steady.cluster), workload };
}

/** Makes the stages of a chain of so many jobs, each of which depends on the one before. */
export function chainStages(length: number): Pipeline['stages'] {
  const numbers = Array.from({ length }, (_, number) => number);
  return numbers.map((number) => ({
    jobClass: number === length - 1 ? LAST_STAGE : STAGE,
    jobs: [1, 1],
    awaits: number === 0 ? [] : [number - 1],
  }));
}
