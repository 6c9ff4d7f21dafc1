/** Capacity holds: machines whose free capacity waits for one job. */
import type { JobState, Machine } from '../model/entities.js';

/** Heartbeat intervals for which capacity is held, beside the time that stopped tasks take to save. */
export const HOLD_HEARTBEATS = 4;

/** Holds capacity that was made by preemption, or is counted on for a move, for the job it is meant for. */
export class CapacityHolds {
  /** All machines with a hold, so that a count visits few machines. */
  private readonly machines = new Set<Machine>();

  /** Holds the machine's capacity for the job, until then (seconds of the steady clock) at the longest. */
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

  /** Ends the hold once the job has a task there: its other tasks need capacity of their own. */
  releaseIfHeldFor(machine: Machine, job: JobState): void {
    if (machine.capacityHold?.job === job) this.release(machine);
  }

  /**
   * Whether the capacity is held for another job that still waits and is not of lower rank. A hold that has
   * run out, or whose job is over, is released.
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

  /** On how many machines capacity is held for each job. */
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
