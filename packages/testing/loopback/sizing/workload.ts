/**
 * The jobs of measured fleets. Each machine runs one permanent task of an anchor job, which keeps the fleet at
 * its full size. Short jobs use about three quarters of the remaining capacity.
 */
import type { Job } from '#wire';
import { makeJob } from '../../samples.js';
import { SeededRandom } from '../../random.js';
import {
  type JobClass,
  jobTemplate,
  makeWorkload,
  type PlannedJob,
} from '../../stand-ins/index.js';

export interface SizingWorkload {
  machines: number;
  teams: string[];
  /** Short jobs submitted per minute, in addition to the anchor jobs. */
  jobsPerMinute: number;
  /** How long short jobs are submitted. */
  lengthS: number;
}

/** Short jobs per minute and machine; they use the capacity that anchors leave, without a queue. */
export const JOBS_PER_MACHINE_MINUTE = 0.276;
const WORKLOAD_SEED = 1;
/** Tasks of one anchor job. */
const ANCHOR_TASKS = 2;
/** Anchor jobs submitted per second. */
const ANCHORS_PER_SECOND = 20;
const ANCHOR = { class: 'anchor', cpus: 33, gpus: 4, memory: 200 };
/** Lowest number in the ids of anchor jobs; short jobs have lower numbers. */
const FIRST_ANCHOR_ID = 990_000;

const ANY_MACHINE = { types: null, zone: null, spot: true };

const REPLICA_CLASS: JobClass = {
  template: jobTemplate({
    class: 'replica',
    kind: 'service',
    rank: 1,
    cpus: 8,
    gpus: 1,
    memory: 25,
    imageGb: 5,
    spot: true,
  }),
  arrivals: { perMinute: 0.16, together: [1, 1], atStart: 0.4 },
  tasks: [1, 5],
  run: { medianS: 120, p95S: 300, maxS: 600 },
  cancelledShare: 0,
  mistakenShare: 0,
  images: 12,
};

const BATCH_CLASS: JobClass = {
  template: jobTemplate({
    class: 'batch',
    kind: 'array',
    rank: 3,
    cpus: 8,
    gpus: 1,
    memory: 25,
    imageGb: 10,
    spot: true,
  }),
  arrivals: { perMinute: 0.08, together: [1, 1], atStart: 0.1 },
  tasks: [1, 29],
  run: { medianS: 50, p95S: 130, maxS: 200 },
  cancelledShare: 0.02,
  mistakenShare: 0,
  images: 12,
};

const GANG_CLASS: JobClass = {
  template: jobTemplate({
    class: 'gang',
    kind: 'gang',
    rank: 1,
    cpus: 33,
    gpus: 4,
    memory: 100,
    imageGb: 10,
    oneZone: true,
    spot: true,
    checkpointS: 20,
    saveS: 2,
  }),
  arrivals: { perMinute: 0.036, together: [1, 1], atStart: 0.06 },
  tasks: [1, 4],
  run: { medianS: 90, p95S: 200, maxS: 300 },
  cancelledShare: 0.03,
  mistakenShare: 0,
  images: 12,
};

/** Classes of short jobs; their arrival rates are for one machine. */
const SHORT_JOB_CLASSES: JobClass[] = [REPLICA_CLASS, BATCH_CLASS, GANG_CLASS];

/** All jobs of a run: the anchor jobs, followed by the short jobs. */
export function planSizingWorkload(workload: SizingWorkload): PlannedJob[] {
  const { teams, lengthS, jobsPerMinute, machines } = workload;
  const random = new SeededRandom(WORKLOAD_SEED);
  const shortJobs = makeWorkload(() => random.next(), {
    classes: SHORT_JOB_CLASSES,
    teams,
    lengthS,
    intensity: jobsPerMinute / JOBS_PER_MACHINE_MINUTE,
  });
  return [...planAnchorJobs(machines, teams), ...shortJobs];
}

/** Jobs with as many tasks as there are machines; a machine has room for only one of these tasks. */
export function planAnchorJobs(machines: number, teams: string[]): PlannedJob[] {
  const count = Math.ceil(machines / ANCHOR_TASKS);
  return Array.from({ length: count }, (_, index) => {
    const tasks = Math.min(ANCHOR_TASKS, machines - index * ANCHOR_TASKS);
    const fields: Partial<Job> = { ...ANCHOR, ...ANY_MACHINE, kind: 'service', rank: 0, tasks };
    const id = `j-${FIRST_ANCHOR_ID + index}`;
    const job = makeJob({ ...fields, id, team: teams[index % teams.length] });
    return {
      program: { job, runS: Array<number>(tasks).fill(0), failsAfterS: null },
      submitAtS: index / ANCHORS_PER_SECOND,
      cancelAfterS: null,
      repeatAfterS: null,
    };
  });
}
