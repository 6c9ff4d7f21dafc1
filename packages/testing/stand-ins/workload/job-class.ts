/** Classes of jobs with their resources, arrivals and run times. */
import type { Job } from '#wire';
import type { Span, TimeDistribution } from '../distributions.js';

/** When the jobs of a class come. */
export interface Arrivals {
  /** Occasions on which jobs come, on average and independently of each other. */
  perMinute: number;
  /** Jobs that come together on one occasion. */
  together: Span;
  /** Jobs that come at the very start, beside the others; none if it is left out. */
  atStart?: number;
}

/** What a job needs, the same for all jobs of a class. */
export type JobTemplate = Omit<
  Job,
  'id' | 'team' | 'tasks' | 'image' | 'estimateS' | 'deadlineS' | 'awaits'
>;

/** What has no usual value. */
type RequiredNeeds = 'class' | 'kind' | 'rank' | 'cpus' | 'gpus' | 'memory' | 'imageGb';

/**
 * A template of jobs that may run on any on-demand machine and write no checkpoints, unless `needs`
 * says otherwise.
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

/** One class of jobs: what they need, when they come and how long they run. */
export interface JobClass {
  template: JobTemplate;
  arrivals: Arrivals;
  tasks: Span;
  /** Run time of a task; of a service, time until its user cancels it. */
  run: TimeDistribution;
  /** Share of jobs that are cancelled before they end; not for services. */
  cancelledShare: number;
  /** Share of jobs whose tasks fail on every machine. */
  mistakenShare: number;
  /** Different images that the jobs of the class use. */
  images: number;
}

/** Replicas that stand for minutes, spread over the zones. */
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

/** Batches of independent tasks that write checkpoints and run on spot machines too. */
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

/** Small urgent replicas that come several at a time and go soon. */
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

/** Gangs on whole machines of one zone. */
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

/** A mix for a fleet of a dozen machines with eight accelerators each. */
export const USUAL_CLASSES: JobClass[] = [REPLICAS, BATCHES, URGENT_REPLICAS, GANGS];
