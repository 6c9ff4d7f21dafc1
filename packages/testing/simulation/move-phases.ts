import { moveKey, type MoveRecord, type StoredMigration } from '#shards';
import { decodeLeader, shardKey } from '#store';
import type { Change } from '#wire';
import type { WorldEvent } from '../stand-ins/index.js';

/** How far a move has come, as its record says; `switched`: the target owns the part. */
export type MovePhase = MoveRecord['phase'] | 'switched';

const SHARD = 0;

/** Follows the moves of the part by the transactions that the state service carries out. */
export class MovePhases {
  /** The controllers between which the part moves, or moved last. */
  source: string | null = null;
  target: string | null = null;
  /** How often each phase was reached. */
  readonly counts: Record<MovePhase, number> = {
    requested: 0,
    prepared: 0,
    quiesced: 0,
    switched: 0,
  };
  private waiting: { phase: MovePhase; callback: () => void }[] = [];

  /** `ownerNow` tells who holds the part now. */
  constructor(private readonly leaderNow: () => string | null) {}

  observe(event: WorldEvent): void {
    if (event.kind !== 'transaction' || !event.applied) return;
    for (const change of event.changes) this.take(change, event.changes);
  }

  /** Calls back once a move reaches the phase. */
  onNext(phase: MovePhase, callback: () => void): void {
    this.waiting.push({ phase, callback });
  }

  private take(change: Change, together: Change[]): void {
    if ('delete' in change) return;
    if (change.put === moveKey(SHARD)) {
      const { phase, to } = change.value as StoredMigration;
      this.source = this.leaderNow();
      this.target = to;
      this.reached(phase);
    }
    const endsMove = together.some((each) => 'delete' in each && each.delete === moveKey(SHARD));
    if (change.put !== shardKey(SHARD) || !endsMove) return;
    this.target = decodeLeader(change.value).leader;
    this.reached('switched');
  }

  private reached(phase: MovePhase): void {
    this.counts[phase]++;
    const due = this.waiting.filter((each) => each.phase === phase);
    this.waiting = this.waiting.filter((each) => each.phase !== phase);
    for (const { callback } of due) callback();
  }
}
