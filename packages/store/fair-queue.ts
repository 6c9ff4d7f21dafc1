/** A weighted fair queue. */

/** One flow of the queue: its items in first-in, first-out order, and its weight. */
interface Lane<T> {
  readonly items: T[];
  readonly weight: number;
  /** Virtual start time of the lane's first item. */
  turnAt: number;
}

/**
 * Start-time fair queueing: non-empty lanes are served in proportion to their weights, and the items of
 * one lane in first-in, first-out order. A lane that was empty gets no credit for that time, and does not
 * wait for the items that other lanes queued before.
 */
export class FairQueue<T> {
  private readonly lanes = new Map<string, Lane<T>>();
  /** Virtual start time of the item that was served last. */
  private virtualTime = 0;
  /** Number of items in all lanes. */
  length = 0;

  /** `weightOf` returns the weight of a lane, above 0; by default all weights are equal. */
  constructor(private readonly weightOf: (lane: string) => number = () => 1) {}

  /** Adds an item at the end of its lane. */
  push(name: string, item: T): void {
    this.activateLane(name).items.push(item);
    this.length++;
  }

  /** Puts an item that was served back at the front of its lane. */
  pushFront(name: string, item: T): void {
    this.activateLane(name).items.unshift(item);
    this.length++;
  }

  /** Returns the next item without removing it. */
  peek(): T | undefined {
    return this.nextLane()?.items[0];
  }

  /** Removes and returns the next item; `cost`, in units of the caller's choice, is charged to its lane. */
  shift(cost = 1): T | undefined {
    const lane = this.nextLane();
    if (!lane) return undefined;
    this.virtualTime = lane.turnAt;
    lane.turnAt += cost / lane.weight;
    this.length--;
    return lane.items.shift();
  }

  /** Removes an item from its lane at no cost. */
  remove(name: string, item: T): void {
    const items = this.lanes.get(name)?.items ?? [];
    const index = items.indexOf(item);
    if (index < 0) return;
    items.splice(index, 1);
    this.length--;
  }

  /** Number of items in one lane. */
  laneLength(name: string): number {
    return this.lanes.get(name)?.items.length ?? 0;
  }

  /** The fraction of service that a lane gets while the lanes that hold items now compete with it. */
  shareOf(name: string): number {
    const own = this.lanes.get(name)?.weight ?? this.weightOf(name);
    let total = own;
    for (const [other, { items, weight }] of this.lanes) {
      if (other !== name && items.length > 0) total += weight;
    }
    return own / total;
  }

  private activateLane(name: string): Lane<T> {
    let lane = this.lanes.get(name);
    if (!lane) {
      lane = { items: [], weight: this.weightOf(name), turnAt: 0 };
      this.lanes.set(name, lane);
    }
    if (lane.items.length === 0) lane.turnAt = Math.max(lane.turnAt, this.virtualTime);
    return lane;
  }

  private nextLane(): Lane<T> | undefined {
    let next: Lane<T> | undefined;
    for (const lane of this.lanes.values()) {
      if (lane.items.length > 0 && (!next || lane.turnAt < next.turnAt)) next = lane;
    }
    return next;
  }
}
