import { decodeLeader, shardKey } from '#store';
import type { World } from './world.js';

const SAMPLE_S = 0.05;

/** Who held the part, from when on; null if nobody. */
export interface LeadershipChange {
  atS: number;
  /** Name of the controller. */
  owner: string;
  /** Version of the part's key. */
  term: number;
}

/** What the state service holds under a key. */
export type KeyReader = (key: string) => { value: unknown; version: number } | null;

/** Follows the part's key in the state service. */
export class LeadershipHistory {
  readonly changes: LeadershipChange[] = [];
  private leader: LeadershipChange | null = null;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly world: World,
    private readonly read: KeyReader,
  ) {
    this.sample();
  }

  /** The holder of the part now, by the state service's word. */
  current(): LeadershipChange | null {
    this.look();
    return this.leader;
  }

  /** Calls back once somebody has claimed the part anew. */
  onNextChange(callback: () => void): void {
    this.look();
    this.waiting.push(callback);
  }

  private sample(): void {
    this.look();
    this.world.scheduleInternal(SAMPLE_S, () => this.sample());
  }

  private look(): void {
    const entry = this.read(shardKey(0));
    if (entry === null) {
      this.leader = null;
      return;
    }
    if (entry.version === this.leader?.term) return;
    const { leader: leader } = decodeLeader(entry.value);
    this.leader = { atS: this.world.now, owner: leader, term: entry.version };
    this.changes.push(this.leader);
    for (const callback of this.waiting.splice(0)) callback();
  }
}
