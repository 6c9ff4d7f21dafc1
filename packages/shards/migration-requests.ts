/** Requests for migrations of a shard, and their state: what the command line and other programs call. */
import { type Clock, pause, type StateApi } from '#wire';
import { decodeLeader, shardKey } from '#store';
import {
  migrationKey,
  type MigrationRecord,
  type MigrationResult,
  migrationResultKey,
} from './migration-record.js';
import {
  decodeMigration,
  decodeMigrationResult,
  encodeMigration,
} from './migration-record-codec.js';
import { endMigration, migrationConditions } from './migration-transaction.js';

/** Time from one read of a migration's record to the next while its end is waited for. */
const POLL_INTERVAL_MS = 100;

/** A shard as the state service holds it. */
export interface ShardStatus {
  shard: number;
  /** Null while the shard has no leader. */
  leader: { name: string; term: number } | null;
  /** The migration under way; `unreadable` if its record is damaged or of a later version. */
  migration: MigrationRecord | 'unreadable' | null;
  /** How the last migration ended; null if there was none. */
  lastMigration: MigrationResult | null;
}

/** What became of a request. Texts for people are printed by the command line as they stand. */
export type RequestOutcome =
  | { kind: 'moved'; term: number }
  /** Nothing was changed, or the leader has kept the shard. */
  | { kind: 'not-moved'; reason: string }
  /** The leader did not start on the request in time, and it was withdrawn. */
  | { kind: 'ignored' };

/** Requests migrations of one shard and shows their state. Calls reject with NoAnswer or StateRefused. */
export class MigrationRequests {
  constructor(
    private readonly api: StateApi,
    private readonly clock: Clock,
    private readonly shard: number,
  ) {}

  /** Reads who leads the shard and how its migrations stand. */
  async status(): Promise<ShardStatus> {
    const { shard, api } = this;
    const [leader, migration, lastMigration] = await Promise.all([
      api.get(shardKey(shard)),
      api.get(migrationKey(shard)),
      api.get(migrationResultKey(shard)),
    ]);
    return {
      shard,
      leader: leader && { name: decodeLeader(leader.value).leader, term: leader.version },
      migration: migration && (decodeMigration(migration.value) ?? 'unreadable'),
      lastMigration: lastMigration && decodeMigrationResult(lastMigration.value),
    };
  }

  /** Requests a migration to the controller of that name and waits for its end, at most `withinS` seconds. */
  async move(target: string, reason: string, withinS: number): Promise<RequestOutcome> {
    const { leader } = await this.status();
    if (leader === null) return { kind: 'not-moved', reason: 'nobody owns the part now' };
    if (leader.name === target) {
      return { kind: 'not-moved', reason: `${target} owns the part already` };
    }
    const isRecorded = await this.recordRequest(leader.term, target, reason);
    if (!isRecorded) return { kind: 'not-moved', reason: await this.describeConflict() };
    const hasEnded = await this.waitForEnd(withinS);
    return hasEnded ? this.readOutcome(target) : this.withdrawLateRequest();
  }

  /** False if the leader has changed, or another migration is under way. */
  private async recordRequest(fromTerm: number, target: string, reason: string): Promise<boolean> {
    const { shard, api } = this;
    const value = encodeMigration({ fromTerm, target, reason, phase: 'requested' });
    const conditions = migrationConditions(shard, fromTerm, 0);
    const outcome = await api.txn(conditions, [{ put: migrationKey(shard), value }]);
    return outcome.ok;
  }

  /** False if the migration has not ended in time. */
  private async waitForEnd(withinS: number): Promise<boolean> {
    const { shard, api, clock } = this;
    const deadline = clock.now() + withinS;
    while ((await api.get(migrationKey(shard))) !== null) {
      if (clock.now() > deadline) return false;
      await pause(clock, POLL_INTERVAL_MS);
    }
    return true;
  }

  private async describeConflict(): Promise<string> {
    const { migration } = await this.status();
    if (migration === null) return 'the part has changed its owner just now';
    return migration === 'unreadable'
      ? 'an unreadable move is there'
      : `a move to ${migration.target} is under way`;
  }

  private async withdrawLateRequest(): Promise<RequestOutcome> {
    const isWithdrawn = await this.withdraw('not carried out in time');
    if (isWithdrawn) return { kind: 'ignored' };
    return { kind: 'not-moved', reason: 'not yet: it is being carried out' };
  }

  private async readOutcome(target: string): Promise<RequestOutcome> {
    const { leader, lastMigration } = await this.status();
    if (leader?.name === target) return { kind: 'moved', term: leader.term };
    const failureReason = lastMigration?.failureReason ?? '';
    const why = failureReason === '' ? 'the part has changed its owner since' : failureReason;
    return { kind: 'not-moved', reason: why };
  }

  /** Withdraws a request unless the source has quiesced; false if there is none that can be withdrawn. */
  async withdraw(failureReason: string): Promise<boolean> {
    const { api, shard } = this;
    const entry = await api.get(migrationKey(shard));
    if (entry === null) return false;
    const record = decodeMigration(entry.value);
    if (record?.phase === 'quiesced') return false;
    const { target = '', reason = '' } = record ?? {};
    const result: MigrationResult = { outcome: 'refused', target, reason, failureReason };
    const conditions = [{ key: migrationKey(shard), version: entry.version }];
    const outcome = await api.txn(conditions, endMigration(shard, result));
    return outcome.ok;
  }
}
