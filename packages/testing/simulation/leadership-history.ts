import { decodeLeader, shardKey } from '#store';
import type { World } from './world.js';

const SAMPLE_S = 0.05;

/** Who held the part, from when on; null if nobody. */
export interface OwnershipChange {
  atS: number;
  /** Name of the controller. */
  owner: string;
  /** Version of the part's key. */
  term: number;
}

/** What the state service holds under a key. */
export type KeyReader = (key: string) => { value: unknown; version: number } | null;

/** Follows the part's key in the state service. */
export class OwnershipHistory {
  readonly changes: OwnershipChange[] = [];
  private holder: OwnershipChange | null = null;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly world: World,
    private readonly read: KeyReader,
  ) {
    this.sample();
  }

  /** The holder of the part now, by the state service's word. */
  current(): OwnershipChange | null {
    this.look();
    return this.holder;
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
      this.holder = null;
      return;
    }
    if (entry.version === this.holder?.term) return;
    const { leader: owner } = decodeLeader(entry.value);
    this.holder = { atS: this.world.now, owner, term: entry.version };
    this.changes.push(this.holder);
    for (const callback of this.waiting.splice(0)) callback();
  }
}
