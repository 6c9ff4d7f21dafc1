import type { Job } from '#wire';

/** Of a boot time: how far ahead room is kept, since a machine must be up before it is needed. */
const LOOK_AHEAD = 1.2;
/** Jobs over which the mean square of tasks per job is taken. */
const SIZE_MEMORY = 10;
/** After so many mean gaps without a job, a class's rate counts as lower. */
const QUIET_GAPS = 3;
/** Expected jobs below which nothing is kept. */
const FEWEST_JOBS = 0.05;
/** Share of the reserve that is kept for classes whose work may wait for a boot. */
const PATIENT_SHARE = 0.3;

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
  /** Jobs a second. */
  rate: number;
  /** Tasks a second that came and that ended. */
  tasksIn: number;
  tasksOut: number;
  /** When the averages were last decayed. */
  decayedAt: number;
  /** When the last job came. */
  lastAt: number;
  meanSquareTasks: number;
  /** The last job, for what tasks of the class need. */
  sample: Job;
}

/** How much work of each class comes and ends, and how much room that calls for (docs/design.md). */
export class ArrivalStatistics {
  private readonly byClass = new Map<string, ClassArrivals>();

  constructor(
    private readonly settings: ArrivalSettings,
    private readonly objectives: ClassObjective[],
  ) {}

  /** All classes of which a job has come. */
  classes(): IterableIterator<ClassArrivals> {
    return this.byClass.values();
  }

  /** A job was accepted. */
  jobArrived(job: Job, now: number): void {
    const { memoryS } = this.settings;
    const arrivals = this.of(job, now);
    arrivals.lastAt = now;
    arrivals.rate += 1 / memoryS;
    arrivals.tasksIn += job.tasks / memoryS;
    arrivals.meanSquareTasks += (job.tasks * job.tasks - arrivals.meanSquareTasks) / SIZE_MEMORY;
    arrivals.sample = job;
  }

  /** A job is over for its user. */
  jobEnded(job: Job, now: number): void {
    this.of(job, now).tasksOut += job.tasks / this.settings.memoryS;
  }

  /** Nothing is known of when work ended before: as much is taken to have ended as came. */
  assumeSteady(now: number): void {
    for (const arrivals of this.byClass.values()) {
      this.decay(arrivals, now);
      arrivals.tasksOut = arrivals.tasksIn;
    }
  }

  /** When the last job of any class came; -Infinity if none has. */
  lastArrivalAt(): number {
    return Math.max(...[...this.byClass.values()].map(({ lastAt }) => lastAt));
  }

  /** Tasks of a class to keep room for, given the boot time of machines that it fits on. */
  reserveTasks(arrivals: ClassArrivals, bootS: number, now: number): number {
    const job = arrivals.sample;
    const objective = this.objectives.find((each) => each.class === job.class);
    if (!objective) return 0;
    this.decay(arrivals, now);
    const aheadS = bootS * LOOK_AHEAD;
    // Hardly ever does nothing come for three times the mean gap: then fewer come than before.
    const highestRate = QUIET_GAPS / Math.max(now - arrivals.lastAt, 1e-9);
    const jobs = Math.min(arrivals.rate, highestRate) * aheadS;
    if (jobs < FEWEST_JOBS) return 0;
    const urgent = objective.kind === 'wait' && objective.withinS < bootS;
    const sigmas = this.settings.reserveSigmas * (urgent ? 1 : PATIENT_SHARE);
    const swing = sigmas * Math.sqrt(jobs * arrivals.meanSquareTasks);
    // Replicas stay until their users end them: while fewer end than come, more are needed.
    const grows = urgent && job.kind === 'service';
    const growth = grows ? Math.max(0, (arrivals.tasksIn - arrivals.tasksOut) * aheadS) : 0;
    return Math.ceil(growth + swing);
  }

  private of(job: Job, now: number): ClassArrivals {
    let arrivals = this.byClass.get(job.class);
    if (!arrivals) {
      arrivals = {
        rate: 0,
        tasksIn: 0,
        tasksOut: 0,
        decayedAt: now,
        lastAt: now,
        meanSquareTasks: job.tasks * job.tasks,
        sample: job,
      };
      this.byClass.set(job.class, arrivals);
    }
    this.decay(arrivals, now);
    return arrivals;
  }

  private decay(arrivals: ClassArrivals, now: number): void {
    const kept = Math.exp(-(now - arrivals.decayedAt) / this.settings.memoryS);
    arrivals.rate *= kept;
    arrivals.tasksIn *= kept;
    arrivals.tasksOut *= kept;
    arrivals.decayedAt = now;
  }
}
