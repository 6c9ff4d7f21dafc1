/** Capacity holds: the free capacity of a machine is kept for one job. */
import type { JobState, Machine } from '../model/entities.js';

/** Heartbeat intervals for which capacity is held, in addition to the time that stopped tasks take to save. */
export const HOLD_HEARTBEATS = 4;

/** Keeps capacity that was freed by preemption, or that a move of tasks relies on, for the job that is to use it. */
export class CapacityHolds {
  /** All machines with a hold, so that counting holds visits few machines. */
  private readonly machines = new Set<Machine>();

  /** Holds the machine's capacity for the job, at the longest until `until` (seconds of the monotonic clock). */
  hold(machine: Machine, job: JobState, until: number): void {
    machine.capacityHold = { job, until };
    this.machines.add(machine);
  }

  /** Ends the machine's hold, if there is one. */
  release(machine: Machine): void {
    if (machine.capacityHold === null) return;
    machine.capacityHold = null;
    this.machines.delete(machine);
  }

  /** Ends all holds for the job. */
  releaseFor(job: JobState): void {
    for (const machine of [...this.machines]) this.releaseIfHeldFor(machine, job);
  }

  /** Ends the machine's hold for the job once a task was placed there. The job's other tasks need other capacity. */
  releaseIfHeldFor(machine: Machine, job: JobState): void {
    if (machine.capacityHold?.job === job) this.release(machine);
  }

  /**
   * Whether the machine's capacity is held for another job that still has waiting tasks and is at least as urgent as
   * `job`. A hold that has expired, or whose job has ended, is released.
   */
  isHeldForOther(machine: Machine, job: JobState, now: number): boolean {
    const hold = machine.capacityHold;
    if (hold === null || hold.job === job) return false;
    if (now > hold.until || hold.job.phase !== 'accepted') {
      this.release(machine);
      return false;
    }
    return hold.job.rank <= job.rank && hold.job.assignments.size < hold.job.spec.tasks;
  }

  /** For each job, the number of machines on which capacity is held for it. */
  machineCountByJob(now: number): Map<JobState, number> {
    const counts = new Map<JobState, number>();
    for (const { capacityHold } of this.machines) {
      if (capacityHold && capacityHold.until >= now) {
        counts.set(capacityHold.job, (counts.get(capacityHold.job) ?? 0) + 1);
      }
    }
    return counts;
  }
}
