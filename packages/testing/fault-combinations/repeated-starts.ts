/** Queries what copies of answered start commands met and did in a run. */
import type { TaskRef } from '#wire';
import type { TimedEvent } from '../simulation/timeline.js';
import { attemptKey } from '../stand-ins/index.js';

/** A copy of a start command that a worker had executed and answered. */
export interface RepeatedStart {
  atS: number;
  machine: string;
  task: TaskRef;
}

type EventOf<K extends TimedEvent['kind']> = TimedEvent & { kind: K };

function eventsOf<K extends TimedEvent['kind']>(events: readonly TimedEvent[], kind: K) {
  return events.filter((event): event is EventOf<K> => event.kind === kind);
}

/** All copies of start commands, one entry for each task that a copy names. */
function repeatedStarts(events: readonly TimedEvent[]): RepeatedStart[] {
  return eventsOf(events, 'command-repeated').flatMap(({ atS, machine, starts }) =>
    starts.map((task) => ({ atS, machine, task })),
  );
}

/** Attempts that began more than once on the same machine, each with its times. */
export function attemptsBegunAgain(events: readonly TimedEvent[]): string[] {
  const begins = new Map<string, number[]>();
  for (const { atS, machine, task } of eventsOf(events, 'task-assigned')) {
    const key = `${attemptKey(task)} on ${machine}`;
    begins.set(key, [...(begins.get(key) ?? []), atS]);
  }
  return [...begins]
    .filter(([, times]) => times.length > 1)
    .map(([key, times]) => `${key} at ${times.map((atS) => atS.toFixed(2)).join(' and ')} s`);
}

/** Copies of starts whose attempt had left the machine before, whatever the cause. */
export function copiesAfterEnd(events: readonly TimedEvent[]): RepeatedStart[] {
  const endedAt = new Map<string, number>();
  for (const { atS, machine, task } of eventsOf(events, 'task-left'))
    endedAt.set(`${attemptKey(task)} ${machine}`, atS);
  return repeatedStarts(events).filter(
    ({ atS, machine, task }) => atS > (endedAt.get(`${attemptKey(task)} ${machine}`) ?? Infinity),
  );
}

/** Copies of starts whose task had begun on another machine in between. */
export function copiesAfterMove(events: readonly TimedEvent[]): RepeatedStart[] {
  const begins = eventsOf(events, 'task-assigned');
  return copiesAfterEnd(events).filter((copy) =>
    begins.some(
      ({ atS, machine, task }) =>
        machine !== copy.machine &&
        atS < copy.atS &&
        task.job === copy.task.job &&
        task.index === copy.task.index &&
        task.attempt > copy.task.attempt,
    ),
  );
}

/** Copies of starts of jobs whose users had been told before that the job is cancelled. */
export function copiesAfterCancellation(events: readonly TimedEvent[]): RepeatedStart[] {
  const cancelledAt = new Map<string, number>();
  for (const { atS, request, phase } of eventsOf(events, 'answered')) {
    if (phase === 'aborted' && !cancelledAt.has(request.job)) cancelledAt.set(request.job, atS);
  }
  return copiesAfterEnd(events).filter(
    ({ atS, task }) => atS > (cancelledAt.get(task.job) ?? Infinity),
  );
}
