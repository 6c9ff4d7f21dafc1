/** Tracks migrations of the shard, so that faults can begin at a given phase. */
import { migrationKey, type MigrationRecord, type StoredMigration } from '#shards';
import { decodeLeader, shardKey } from '#store';
import type { Change } from '#wire';
import type { WorldEvent } from '../stand-ins/index.js';

/** Phase of a migration according to its stored record; `switched` once the target leads the shard. */
export type MigrationPhase = MigrationRecord['phase'] | 'switched';

const SHARD = 0;

/** Tracks migrations of the shard by the transactions that the state service applies. */
export class MigrationPhases {
  /** Source and target controller of the current migration, or of the last one. */
  source: string | null = null;
  target: string | null = null;
  /** Number of times that each phase was reached. */
  readonly counts: Record<MigrationPhase, number> = {
    requested: 0,
    prepared: 0,
    quiesced: 0,
    switched: 0,
  };
  private waiting: { phase: MigrationPhase; callback: () => void }[] = [];

  /** `currentLeader` returns the name of the shard's current leader; null if there is none. */
  constructor(private readonly currentLeader: () => string | null) {}

  observe(event: WorldEvent): void {
    if (event.kind !== 'transaction' || !event.applied) return;
    for (const change of event.changes) this.apply(change, event.changes);
  }

  /** Calls back the next time that a migration reaches the phase. */
  onNext(phase: MigrationPhase, callback: () => void): void {
    this.waiting.push({ phase, callback });
  }

  private apply(change: Change, allChanges: Change[]): void {
    if ('delete' in change) return;
    if (change.put === migrationKey(SHARD)) {
      const { phase, to } = change.value as StoredMigration;
      this.source = this.currentLeader();
      this.target = to;
      this.recordPhase(phase);
    }
    const endsMove = allChanges.some(
      (each) => 'delete' in each && each.delete === migrationKey(SHARD),
    );
    if (change.put !== shardKey(SHARD) || !endsMove) return;
    this.target = decodeLeader(change.value).leader;
    this.recordPhase('switched');
  }

  private recordPhase(phase: MigrationPhase): void {
    this.counts[phase]++;
    const due = this.waiting.filter((each) => each.phase === phase);
    this.waiting = this.waiting.filter((each) => each.phase !== phase);
    for (const { callback } of due) callback();
  }
}
