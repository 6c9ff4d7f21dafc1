/** The event queue of a simulated world. */
/** A callback that is scheduled for a simulated time. */
export interface QueuedEvent {
  /** Simulated time in seconds. */
  readonly atS: number;
  /** Orders events of the same time. */
  readonly sequence: number;
  /** Null once the event was cancelled. */
  run: (() => void) | null;
  /** Whether the callback may run program code; microtasks must then be drained before the next event. */
  readonly runsProgram: boolean;
}

/** Binary heap of events, ordered by time and then by the order in which they were added. */
export class EventQueue {
  private readonly heap: QueuedEvent[] = [];
  private nextSequence = 0;

  get size(): number {
    return this.heap.length;
  }

  push(atS: number, run: () => void, runsProgram: boolean): QueuedEvent {
    const event: QueuedEvent = { atS, sequence: this.nextSequence++, run, runsProgram };
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
    return event;
  }

  peek(): QueuedEvent | undefined {
    return this.heap[0];
  }

  /** Removes and returns the earliest event. */
  pop(): QueuedEvent | undefined {
    const first = this.heap.at(0);
    const last = this.heap.pop();
    if (first !== undefined && last !== undefined && first !== last) {
      this.heap[0] = last;
      this.siftDown();
    }
    return first;
  }

  private siftUp(from: number): void {
    const { heap } = this;
    const event = heap[from];
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = event;
  }

  private siftDown(): void {
    const { heap } = this;
    const event = heap[0];
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) child++;
      if (!isBefore(heap[child], event)) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = event;
  }
}

function isBefore(a: QueuedEvent, b: QueuedEvent): boolean {
  return a.atS < b.atS || (a.atS === b.atS && a.sequence < b.sequence);
}
