/** Arrival statistics: the rates at which work of each class arrives and ends, and the reserve kept for it. */
import type { Job } from '#wire';

/** Period that the reserve covers, in boot times. It is more than one, as a machine must be up before it is needed. */
const LOOKAHEAD_BOOTS = 1.2;
/** Number of jobs over which the square of tasks per job is averaged. */
const SIZE_AVERAGE_JOBS = 10;
/** Time without a job, in mean gaps between jobs, after which the job rate of a class is taken as lower. */
const MAX_MEAN_GAPS = 3;
/** Least number of expected jobs for which a reserve is kept. */
const MIN_EXPECTED_JOBS = 0.05;
/** Factor on the standard deviations reserved for classes whose tasks can wait for a machine to boot. */
const NON_URGENT_SHARE = 0.3;

/** Service objective of a class of jobs. */
export interface ClassObjective {
  class: string;
  /** The objective `wait`: tasks start within `withinS` seconds of the submission. */
  kind: string;
  withinS: number;
}

/** Reserve settings of the operators. */
export interface ArrivalSettings {
  /** Standard deviations of arrivals reserved for classes whose tasks must start in less than a boot time. */
  reserveSigmas: number;
  /** Time constant, in seconds, of the decayed rates of a class. */
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
  /** The last job, whose requirements stand for those of the class. */
  lastJob: Job;
}

/** Averages arrivals and ends by class (docs/design.md). Times are seconds of the monotonic clock. */
export class ArrivalStatistics {
  private readonly byClass = new Map<string, ClassArrivals>();

  constructor(
    private readonly settings: ArrivalSettings,
    private readonly objectives: ClassObjective[],
  ) {}

  /** Returns the averages of each class of which a job has been accepted. */
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

  /** Observes that a job has ended from its user's point of view. */
  jobEnded(job: Job, now: number): void {
    this.arrivalsOf(job, now).taskEndRate += job.tasks / this.settings.memoryS;
  }

  /** Sets the rate of ended tasks to that of arrivals: a new leader does not know how many tasks ended before. */
  assumeSteadyState(now: number): void {
    for (const arrivals of this.byClass.values()) {
      this.decay(arrivals, now);
      arrivals.taskEndRate = arrivals.taskArrivalRate;
    }
  }

  /** Returns when the last job of any class was accepted; -Infinity if none was. */
  lastArrivalAt(): number {
    return Math.max(...[...this.byClass.values()].map(({ lastJobAt }) => lastJobAt));
  }

  /** Number of tasks to reserve capacity for, given the boot time in seconds of machines that can run the class. */
  reserveTasks(arrivals: ClassArrivals, bootS: number, now: number): number {
    const job = arrivals.lastJob;
    const objective = this.objectives.find((each) => each.class === job.class);
    if (!objective) return 0;
    this.decay(arrivals, now);
    const lookaheadS = bootS * LOOKAHEAD_BOOTS;
    // A gap of three times the mean is rare at a constant rate, so the rate is taken as lower after it.
    const maxJobRate = MAX_MEAN_GAPS / Math.max(now - arrivals.lastJobAt, 1e-9);
    const expectedJobs = Math.min(arrivals.jobRate, maxJobRate) * lookaheadS;
    if (expectedJobs < MIN_EXPECTED_JOBS) return 0;
    const isUrgent = objective.kind === 'wait' && objective.withinS < bootS;
    const sigmas = this.settings.reserveSigmas * (isUrgent ? 1 : NON_URGENT_SHARE);
    const deviation = sigmas * Math.sqrt(expectedJobs * arrivals.meanSquareTasks);
    // Replicas run until their users end them, so demand grows while fewer replicas end than arrive.
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

/** Number of tasks by which the class grows within `seconds` at its present rates. */
function expectedGrowth({ taskArrivalRate, taskEndRate }: ClassArrivals, seconds: number): number {
  return Math.max(0, (taskArrivalRate - taskEndRate) * seconds);
}
