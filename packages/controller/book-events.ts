import type { Book, CapacityPlanner } from '#core';
import type { Log } from './log.js';

/** Tells the planner and the log what happens to the machines and tasks of a book. */
export function followBook(book: Book, planner: CapacityPlanner, log: Log): void {
  book.onUp = (machine, now) => {
    planner.noteUp(machine, now);
    const { name, type, zone, spot, bornAt } = machine;
    log.debug({ machine: name, type, zone, spot, bootedS: hundredths(now - bornAt) }, 'up');
  };
  book.onClosed = (job, now) => planner.noteEnd(job.job, now);
  book.onRunning = ({ job, index, machine, since }, now) => {
    const fields = {
      job: job.job.id,
      task: index,
      class: job.job.class,
      machine: machine.name,
      image: job.job.image,
      placedS: hundredths(since - job.acceptedAt),
      fetchedS: hundredths(now - since),
    };
    log.debug(fields, 'task running');
  };
  book.onEnd = ({ assignment, cause }, now) => {
    const { job, index, attempt, machine } = assignment;
    const ranS = now - (assignment.runningSince ?? now);
    const fields = { job: job.job.id, task: index, attempt, machine: machine.name, cause, ranS };
    log.debug(fields, 'task over');
  };
}

function hundredths(seconds: number): number {
  return Math.round(seconds * 100) / 100;
}
