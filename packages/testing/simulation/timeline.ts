/** Timeline of the events of a run. */
import type { Observer, WorldEvent } from '../stand-ins/index.js';
import type { World } from './world.js';

/** An event that a stand-in reported, with its time. */
export type TimedEvent = WorldEvent & {
  /** Time of the event, in simulated seconds. */
  atS: number;
};

type EventOf<K extends WorldEvent['kind']> = TimedEvent & { kind: K };

/** All events that the stand-ins reported, in order, for tests to query. */
export class Timeline {
  readonly events: TimedEvent[] = [];
  readonly observe: Observer;

  constructor(world: World) {
    this.observe = (event) => void this.events.push({ ...event, atS: world.now });
  }

  /** Events of one kind between two times, both included. */
  of<K extends WorldEvent['kind']>(kind: K, fromS = 0, untilS = Infinity): EventOf<K>[] {
    return this.events.filter(
      (event): event is EventOf<K> =>
        event.kind === kind && event.atS >= fromS && event.atS <= untilS,
    );
  }
}
