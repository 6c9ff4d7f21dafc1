/** Classes of jobs with their resources, arrivals and run times. */
import type { Job } from '#wire';
import type { Span, TimeDistribution } from '../distributions.js';

/** When the jobs of a class are submitted. */
export interface Arrivals {
  /** Mean rate of arrivals, which are independent of each other. */
  perMinute: number;
  /** Jobs of one arrival, submitted at the same time. */
  together: Span;
  /** Further jobs that are submitted at the start of the run; 0 by default. */
  atStart?: number;
}

/** The fields of a job that are the same for all jobs of a class. */
export type JobTemplate = Omit<
  Job,
  'id' | 'team' | 'tasks' | 'image' | 'estimateS' | 'deadlineS' | 'awaits'
>;

/** Fields of a template that have no default. */
type RequiredNeeds = 'class' | 'kind' | 'rank' | 'cpus' | 'gpus' | 'memory' | 'imageGb';

/**
 * Makes a template from `needs`. By default its jobs may run on any on-demand machine and write no
 * checkpoints.
 */
export function jobTemplate(
  needs: Pick<JobTemplate, RequiredNeeds> & Partial<JobTemplate>,
): JobTemplate {
  return {
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    checkpointS: 0,
    saveS: 0,
    ...needs,
  };
}

/** A class of jobs: their resources, arrivals, run times and cancellations. */
export interface JobClass {
  template: JobTemplate;
  arrivals: Arrivals;
  tasks: Span;
  /** Run time of a task, or of a service until its user cancels it. */
  run: TimeDistribution;
  /** Share of jobs that are cancelled; not for services, which always are. */
  cancelledShare: number;
  /** Share of jobs whose tasks fail on every machine. */
  mistakenShare: number;
  /** Number of different images that the jobs of the class use. */
  images: number;
}

/** Service replicas that run for minutes, spread over the zones. */
const REPLICAS: JobClass = {
  template: jobTemplate({
    class: 'chat-replica',
    kind: 'service',
    rank: 1,
    cpus: 8,
    gpus: 1,
    memory: 48,
    imageGb: 4,
    spread: true,
  }),
  arrivals: { perMinute: 5, together: [1, 1] },
  tasks: [1, 4],
  run: { medianS: 90, p95S: 240, maxS: 400 },
  cancelledShare: 0,
  mistakenShare: 0,
  images: 3,
};

/** Batches of independent tasks that write checkpoints and may run on spot machines. */
const BATCHES: JobClass = {
  template: jobTemplate({
    class: 'embedding-batch',
    kind: 'array',
    rank: 3,
    cpus: 4,
    gpus: 0,
    memory: 16,
    imageGb: 3,
    spot: true,
    checkpointS: 10,
    saveS: 2,
  }),
  arrivals: { perMinute: 4, together: [1, 2] },
  tasks: [4, 24],
  run: { medianS: 25, p95S: 60, maxS: 100 },
  cancelledShare: 0.12,
  mistakenShare: 0.01,
  images: 4,
};

/** Small urgent service replicas that arrive several at a time and run for a short time. */
const URGENT_REPLICAS: JobClass = {
  template: jobTemplate({
    class: 'rush-replica',
    kind: 'service',
    rank: 0,
    cpus: 4,
    gpus: 1,
    memory: 24,
    imageGb: 2,
  }),
  arrivals: { perMinute: 1.5, together: [2, 6] },
  tasks: [1, 2],
  run: { medianS: 35, p95S: 80, maxS: 150 },
  cancelledShare: 0,
  mistakenShare: 0,
  images: 1,
};

/** Gangs whose tasks each take a whole machine, all in one zone. */
const GANGS: JobClass = {
  template: jobTemplate({
    class: 'tuning-gang',
    kind: 'gang',
    rank: 2,
    cpus: 64,
    gpus: 8,
    memory: 512,
    imageGb: 8,
    oneZone: true,
    spot: true,
    checkpointS: 15,
    saveS: 3,
  }),
  arrivals: { perMinute: 1, together: [1, 1] },
  tasks: [1, 3],
  run: { medianS: 50, p95S: 110, maxS: 180 },
  cancelledShare: 0.08,
  mistakenShare: 0.02,
  images: 2,
};

/** The default mix of classes, for a fleet of a dozen machines with eight accelerators each. */
export const DEFAULT_CLASSES: JobClass[] = [REPLICAS, BATCHES, URGENT_REPLICAS, GANGS];
