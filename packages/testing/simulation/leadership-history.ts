/** History of the leaders of the shard. */
import { decodeLeader, shardKey } from '#store';
import type { World } from './world.js';

/** Seconds between two checks of the shard's key. */
const SAMPLE_INTERVAL_S = 0.05;

/** The beginning of a leader's term. */
export interface LeadershipChange {
  atS: number;
  /** Name of the controller. */
  leader: string;
  /** Version of the shard's key in the state service. */
  term: number;
}

/** Reads a key of the state service; null if the key doesn't exist. */
export type KeyReader = (key: string) => { value: unknown; version: number } | null;

/** Records the leaders of the shard by sampling its key in the state service. */
export class LeadershipHistory {
  readonly changes: LeadershipChange[] = [];
  private leader: LeadershipChange | null = null;
  private readonly changeCallbacks: (() => void)[] = [];

  constructor(
    private readonly world: World,
    private readonly read: KeyReader,
  ) {
    this.sample();
  }

  /** Current leader according to the shard's key in the state service; null if there is none. */
  current(): LeadershipChange | null {
    this.refresh();
    return this.leader;
  }

  /** Calls back once, when the next term begins. */
  onNextChange(callback: () => void): void {
    this.refresh();
    this.changeCallbacks.push(callback);
  }

  private sample(): void {
    this.refresh();
    this.world.scheduleInternal(SAMPLE_INTERVAL_S, () => {
      this.sample();
    });
  }

  private refresh(): void {
    const entry = this.read(shardKey(0));
    if (entry === null) {
      this.leader = null;
      return;
    }
    if (entry.version === this.leader?.term) return;
    const { leader } = decodeLeader(entry.value);
    this.leader = { atS: this.world.now, leader, term: entry.version };
    this.changes.push(this.leader);
    for (const callback of this.changeCallbacks.splice(0)) callback();
  }
}
