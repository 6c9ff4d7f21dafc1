/** Generates the jobs of a run from given random numbers. */
import type { Job } from '#wire';
import type { JobProgram } from '../job-storage.js';
import type { PlannedJob } from '../users/index.js';
import {
  exponential,
  logNormal,
  uniform,
  uniformInteger,
  type Random,
  type Span,
} from '../distributions.js';
import type { Arrivals, JobClass } from './job-class.js';
import type { Pipeline } from './pipeline.js';

/** Which jobs are submitted during a run, and how many. */
export interface WorkloadOptions {
  classes: JobClass[];
  /** Names of the teams; the team of a job is chosen at random. */
  teams: string[];
  /** Jobs are submitted from the start of the run until this time. */
  lengthS: number;
  /** Multiplies the rates of arrivals, and the number of jobs at the start; 1 by default. */
  intensity?: number;
  pipelines?: Pipeline[];
}

/** Ids are the numbers below this, in mixed order; odd requests use higher ones. */
const ID_RANGE = 900_000;
/** Coprime to the range, so that no id repeats before all are used. */
const ID_STEP = 410_647;
const ID_DIGITS = 6;
/** An estimate as a multiple of the true run time. */
const ESTIMATE_FACTOR: Span = [0.5, 1.8];
/** A deadline is the estimate times the factor, plus the extra seconds. */
const DEADLINE_FACTOR = 3;
const DEADLINE_EXTRA_S = 60;
/** A cancelled job is cancelled at this fraction of its estimate. */
const CANCEL_AT_FRACTION: Span = [0, 1.2];
const RESUBMITTED_SHARE = 0.05;
const RESUBMITTED_AFTER_S: Span = [1, 120];
const FAILS_AFTER_S: Span = [1, 10];
/** Time from the acceptance until the user of a job that always fails cancels it. */
const FAILING_JOB_CANCEL_AFTER_S: Span = [30, 120];

/** Returns all jobs of a run in the order of their submission. */
export function makeWorkload(random: Random, options: WorkloadOptions): PlannedJob[] {
  const { classes, teams, lengthS, intensity = 1 } = options;
  const maker = new JobMaker(random, teams);
  const plan = classes.flatMap((jobClass) => {
    const times = arrivalTimes(random, jobClass.arrivals, intensity, lengthS);
    return times.map((submitAtS) => maker.makeJob(jobClass, submitAtS));
  });
  for (const pipeline of options.pipelines ?? []) {
    const { arrivals, fromS = 0 } = pipeline;
    const times = arrivalTimes(random, arrivals, intensity, lengthS - fromS);
    plan.push(...times.flatMap((atS) => maker.makePipeline(pipeline, fromS + atS)));
  }
  return plan.sort((first, second) => first.submitAtS - second.submitAtS);
}

function arrivalTimes(
  random: Random,
  arrivals: Arrivals,
  intensity: number,
  lengthS: number,
): number[] {
  const times = Array<number>(Math.round((arrivals.atStart ?? 0) * intensity)).fill(0);
  const perSecond = (arrivals.perMinute * intensity) / 60;
  for (let atS = 0; ;) {
    atS += exponential(random, perSecond);
    if (atS >= lengthS) return times;
    const count = uniformInteger(random, arrivals.together);
    times.push(...Array<number>(count).fill(atS));
  }
}

function jobIdOf({ program }: PlannedJob): string {
  return program.job.id;
}

class JobMaker {
  private nextId: number;

  constructor(
    private readonly random: Random,
    private readonly teams: string[],
  ) {
    this.nextId = Math.floor(random() * ID_RANGE);
  }

  makeJob(jobClass: JobClass, submitAtS: number): PlannedJob {
    const program = this.makeProgram(jobClass);
    const resubmitted = this.random() < RESUBMITTED_SHARE;
    return {
      program,
      submitAtS,
      cancelAfterS: this.drawCancellation(jobClass, program),
      repeatAfterS: resubmitted ? uniform(this.random, RESUBMITTED_AFTER_S) : null,
    };
  }

  /** Makes the jobs of one pipeline, of which one may be cancelled. Only the last stage has a deadline. */
  makePipeline(pipeline: Pipeline, submitAtS: number): PlannedJob[] {
    const { stages, lateShare, cancelledShare, deadlineS, mixesTeams } = pipeline;
    const team = this.teams[Math.floor(this.random() * this.teams.length)];
    const jobsOfStages: PlannedJob[][] = [];
    for (const [number, stage] of stages.entries()) {
      const isLast = number === stages.length - 1;
      const dependencies = stage.awaits.flatMap((each) => jobsOfStages[each].map(jobIdOf));
      const jobs = Array.from({ length: uniformInteger(this.random, stage.jobs) }, () => {
        const planned = this.makeJob(stage.jobClass, submitAtS);
        const { job } = planned.program;
        if (!mixesTeams) job.team = team;
        Object.assign(job, { awaits: dependencies, deadlineS: isLast ? deadlineS : null });
        return {
          ...planned,
          submittedAfterDependenciesEnd: isLast && this.random() < lateShare,
        };
      });
      jobsOfStages.push(jobs);
    }
    const all = jobsOfStages.flat();
    if (this.random() < cancelledShare) {
      const index = uniformInteger(this.random, [0, all.length - 1]);
      all[index].cancelAfterS = uniform(this.random, [0, deadlineS]);
    }
    return all;
  }

  private makeProgram(jobClass: JobClass): JobProgram {
    const { template, run, images } = jobClass;
    const tasks = uniformInteger(this.random, jobClass.tasks);
    const isService = template.kind === 'service';
    const runS = Array.from({ length: tasks }, () => logNormal(this.random, run));
    const estimateS = isService ? 0 : Math.max(...runS) * uniform(this.random, ESTIMATE_FACTOR);
    const job: Job = {
      ...template,
      id: this.drawId(),
      team: this.teams[Math.floor(this.random() * this.teams.length)],
      tasks,
      image: `${template.class}-${uniformInteger(this.random, [1, images])}`,
      estimateS,
      deadlineS: isService ? null : estimateS * DEADLINE_FACTOR + DEADLINE_EXTRA_S,
      awaits: [],
    };
    const alwaysFails = this.random() < jobClass.mistakenShare;
    return { job, runS, failsAfterS: alwaysFails ? uniform(this.random, FAILS_AFTER_S) : null };
  }

  private drawCancellation({ run, cancelledShare }: JobClass, program: JobProgram): number | null {
    const { job, failsAfterS } = program;
    if (failsAfterS !== null) return uniform(this.random, FAILING_JOB_CANCEL_AFTER_S);
    if (job.kind === 'service') return logNormal(this.random, run);
    if (this.random() >= cancelledShare) return null;
    return job.estimateS * uniform(this.random, CANCEL_AT_FRACTION);
  }

  private drawId(): string {
    this.nextId = (this.nextId + ID_STEP) % ID_RANGE;
    return `j-${String(this.nextId).padStart(ID_DIGITS, '0')}`;
  }
}
