/** All events of a run. */
import type { Observer, WorldEvent } from '../stand-ins/index.js';
import type { World } from './world.js';

/** An event of the stand-ins and when it happened. */
export type TimedEvent = WorldEvent & {
  /** Simulated seconds. */
  atS: number;
};

type EventOf<K extends WorldEvent['kind']> = TimedEvent & { kind: K };

/** All that the stand-ins did and saw, in order, for tests to look into. */
export class Timeline {
  readonly events: TimedEvent[] = [];
  readonly observe: Observer;

  constructor(world: World) {
    this.observe = (event) => void this.events.push({ ...event, atS: world.now });
  }

  /** The events of one kind within a span of time. */
  of<K extends WorldEvent['kind']>(kind: K, fromS = 0, untilS = Infinity): EventOf<K>[] {
    return this.events.filter(
      (event): event is EventOf<K> =>
        event.kind === kind && event.atS >= fromS && event.atS <= untilS,
    );
  }
}
