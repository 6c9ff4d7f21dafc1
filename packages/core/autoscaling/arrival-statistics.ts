/** Arrival statistics: how much work of each class comes and ends, and the reserve that it calls for. */
import type { Job } from '#wire';

/** Boot times for which capacity is kept ahead, since a machine must be up before it is needed. */
const LOOKAHEAD_BOOTS = 1.2;
/** Jobs over which the mean square of tasks per job is averaged. */
const SIZE_AVERAGE_JOBS = 10;
/** After so many mean gaps between jobs without one, a class's rate counts as lower. */
const MAX_MEAN_GAPS = 3;
/** Expected jobs below which no reserve is kept. */
const MIN_EXPECTED_JOBS = 0.05;
/** Share of the reserve that is kept for classes whose work can wait for a boot. */
const NON_URGENT_SHARE = 0.3;

/** What is expected for a class of jobs. */
export interface ClassObjective {
  class: string;
  /** `wait`: tasks start within `withinS` of the submission. */
  kind: string;
  withinS: number;
}

/** What operators may set of the reserve. */
export interface ArrivalSettings {
  /** Standard deviations of arrivals kept free for classes that must start sooner than a boot. */
  reserveSigmas: number;
  /** A class's arrival rate is averaged over this many seconds. */
  memoryS: number;
}

/** Decayed averages of one class. */
export interface ClassArrivals {
  /** Jobs accepted, per second. */
  jobRate: number;
  /** Tasks accepted, per second. */
  taskArrivalRate: number;
  /** Tasks ended, per second. */
  taskEndRate: number;
  /** When the averages were last decayed. */
  decayedAt: number;
  /** When the last job was accepted. */
  lastJobAt: number;
  /** Mean square of the tasks per job. */
  meanSquareTasks: number;
  /** The last job, for what tasks of the class need. */
  lastJob: Job;
}

/** Averages arrivals and ends by class (docs/design.md). Times are seconds of the steady clock. */
export class ArrivalStatistics {
  private readonly byClass = new Map<string, ClassArrivals>();

  constructor(
    private readonly settings: ArrivalSettings,
    private readonly objectives: ClassObjective[],
  ) {}

  /** All classes of which a job has been accepted. */
  classes(): IterableIterator<ClassArrivals> {
    return this.byClass.values();
  }

  /** Observes that a job was accepted. */
  jobArrived(job: Job, now: number): void {
    const { memoryS } = this.settings;
    const arrivals = this.arrivalsOf(job, now);
    arrivals.lastJobAt = now;
    arrivals.jobRate += 1 / memoryS;
    arrivals.taskArrivalRate += job.tasks / memoryS;
    arrivals.meanSquareTasks +=
      (job.tasks * job.tasks - arrivals.meanSquareTasks) / SIZE_AVERAGE_JOBS;
    arrivals.lastJob = job;
  }

  /** Observes that a job is over for its user. */
  jobEnded(job: Job, now: number): void {
    this.arrivalsOf(job, now).taskEndRate += job.tasks / this.settings.memoryS;
  }

  /** Assumes that as many tasks have ended as came: a new leader does not know when work ended before. */
  assumeSteady(now: number): void {
    for (const arrivals of this.byClass.values()) {
      this.decay(arrivals, now);
      arrivals.taskEndRate = arrivals.taskArrivalRate;
    }
  }

  /** When the last job of any class was accepted; -Infinity if none was. */
  lastArrivalAt(): number {
    return Math.max(...[...this.byClass.values()].map(({ lastJobAt }) => lastJobAt));
  }

  /** Tasks of a class to keep capacity for, given the boot time in seconds of machines that can run it. */
  reserveTasks(arrivals: ClassArrivals, bootS: number, now: number): number {
    const job = arrivals.lastJob;
    const objective = this.objectives.find((each) => each.class === job.class);
    if (!objective) return 0;
    this.decay(arrivals, now);
    const lookaheadS = bootS * LOOKAHEAD_BOOTS;
    // A gap of three times the mean is rare at a steady rate, so after it the rate is taken as lower.
    const maxJobRate = MAX_MEAN_GAPS / Math.max(now - arrivals.lastJobAt, 1e-9);
    const expectedJobs = Math.min(arrivals.jobRate, maxJobRate) * lookaheadS;
    if (expectedJobs < MIN_EXPECTED_JOBS) return 0;
    const isUrgent = objective.kind === 'wait' && objective.withinS < bootS;
    const sigmas = this.settings.reserveSigmas * (isUrgent ? 1 : NON_URGENT_SHARE);
    const deviation = sigmas * Math.sqrt(expectedJobs * arrivals.meanSquareTasks);
    // Replicas stay until their users end them: while fewer end than come, more are needed.
    const mayGrow = isUrgent && job.kind === 'service';
    const growth = mayGrow ? expectedGrowth(arrivals, lookaheadS) : 0;
    return Math.ceil(growth + deviation);
  }

  private arrivalsOf(job: Job, now: number): ClassArrivals {
    let arrivals = this.byClass.get(job.class);
    if (!arrivals) {
      arrivals = {
        jobRate: 0,
        taskArrivalRate: 0,
        taskEndRate: 0,
        decayedAt: now,
        lastJobAt: now,
        meanSquareTasks: job.tasks * job.tasks,
        lastJob: job,
      };
      this.byClass.set(job.class, arrivals);
    }
    this.decay(arrivals, now);
    return arrivals;
  }

  private decay(arrivals: ClassArrivals, now: number): void {
    const decayFactor = Math.exp(-(now - arrivals.decayedAt) / this.settings.memoryS);
    arrivals.jobRate *= decayFactor;
    arrivals.taskArrivalRate *= decayFactor;
    arrivals.taskEndRate *= decayFactor;
    arrivals.decayedAt = now;
  }
}

/** Tasks by which the class grows in so many seconds, at the present rates. */
function expectedGrowth({ taskArrivalRate, taskEndRate }: ClassArrivals, seconds: number): number {
  return Math.max(0, (taskArrivalRate - taskEndRate) * seconds);
}
