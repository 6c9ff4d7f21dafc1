/** A queue whose lanes share its turns by weight. */

/** The items of one user of the queue. */
interface Lane<T> {
  readonly items: T[];
  readonly weight: number;
  /** Virtual time at which its first item's turn comes. */
  turnAt: number;
}

/**
 * Items in lanes that are served in proportion to the lanes' weights while several hold some, and in the
 * order in which they came within each lane (start-time fair queueing). A lane that was empty is
 * not owed what it did not use, nor does it wait for what others have queued.
 */
export class FairQueue<T> {
  private readonly lanes = new Map<string, Lane<T>>();
  /** Turn of the item that was served last. */
  private virtualTime = 0;
  /** Number of items in all lanes. */
  length = 0;

  /** `weightOf` gives the weight of each lane, above 0; all weigh the same by default. */
  constructor(private readonly weightOf: (lane: string) => number = () => 1) {}

  /** Adds an item at the end of its lane. */
  push(name: string, item: T): void {
    this.activateLane(name).items.push(item);
    this.length++;
  }

  /** Puts an item that was served back in front of its lane. */
  pushFront(name: string, item: T): void {
    this.activateLane(name).items.unshift(item);
    this.length++;
  }

  /** The item whose turn is next. */
  peek(): T | undefined {
    return this.nextLane()?.items[0];
  }

  /** Takes the item whose turn is next; what it costs its lane is in units of the caller's choice. */
  shift(cost = 1): T | undefined {
    const lane = this.nextLane();
    if (!lane) return undefined;
    this.virtualTime = lane.turnAt;
    lane.turnAt += cost / lane.weight;
    this.length--;
    return lane.items.shift();
  }

  /** Takes an item out of turn, at no cost. */
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

  /** The share of all turns that a lane has beside those that hold items now. */
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
