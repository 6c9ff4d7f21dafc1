/** Follows migrations of the shard, so that faults can begin at a phase. */
import { migrationKey, type MigrationRecord, type StoredMigration } from '#shards';
import { decodeLeader, shardKey } from '#store';
import type { Change } from '#wire';
import type { WorldEvent } from '../stand-ins/index.js';

/** The phase of a migration by its record; `switched`: the target leads the shard. */
export type MigrationPhase = MigrationRecord['phase'] | 'switched';

const SHARD = 0;

/** Follows the migrations of the shard by the transactions that the state service carries out. */
export class MigrationPhases {
  /** The controllers between which the shard moves, or moved last. */
  source: string | null = null;
  target: string | null = null;
  /** How often each phase was reached. */
  readonly counts: Record<MigrationPhase, number> = {
    requested: 0,
    prepared: 0,
    quiesced: 0,
    switched: 0,
  };
  private waiting: { phase: MigrationPhase; callback: () => void }[] = [];

  /** `currentLeader` tells the present leader of the shard. */
  constructor(private readonly currentLeader: () => string | null) {}

  observe(event: WorldEvent): void {
    if (event.kind !== 'transaction' || !event.applied) return;
    for (const change of event.changes) this.apply(change, event.changes);
  }

  /** Calls back once a migration reaches the phase. */
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
