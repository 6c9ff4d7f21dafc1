import type { JobState, Machine } from './model.js';

/** Report periods for which room is held, beside the time that stopped work takes to save. */
export const HOLD_HEARTBEATS = 4;

/** Room that is made by stopping work, or counted on for a move, waits for the job it was made for. */
export class RoomHolds {
  /** All machines with a hold, so that few machines are looked at for a count. */
  private readonly machines = new Set<Machine>();

  /** Holds the machine's room for the job, until then (seconds of the steady clock) at the longest. */
  hold(machine: Machine, job: JobState, until: number): void {
    machine.roomHold = { job, until };
    this.machines.add(machine);
  }

  /** Ends the machine's hold, if there is one. */
  release(machine: Machine): void {
    if (machine.roomHold === null) return;
    machine.roomHold = null;
    this.machines.delete(machine);
  }

  /** Ends all holds for the job. */
  releaseFor(job: JobState): void {
    for (const machine of [...this.machines]) this.taken(machine, job);
  }

  /** The job got a place there: what it still waits for needs room of its own. */
  taken(machine: Machine, job: JobState): void {
    if (machine.roomHold?.job === job) this.release(machine);
  }

  /**
   * Whether the room is held for another job that still waits and is not of lower rank. A hold that has
   * run out, or whose job is over, is released.
   */
  isHeldFromJob(machine: Machine, job: JobState, now: number): boolean {
    const hold = machine.roomHold;
    if (hold === null || hold.job === job) return false;
    if (now > hold.until || hold.job.phase !== 'accepted') {
      this.release(machine);
      return false;
    }
    return hold.job.rank <= job.rank && hold.job.assignments.size < hold.job.spec.tasks;
  }

  /** On how many machines room is held for each job. */
  machinesByJob(now: number): Map<JobState, number> {
    const counts = new Map<JobState, number>();
    for (const { roomHold } of this.machines) {
      if (roomHold && roomHold.until >= now) {
        counts.set(roomHold.job, (counts.get(roomHold.job) ?? 0) + 1);
      }
    }
    return counts;
  }
}
