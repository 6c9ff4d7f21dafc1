/** Client that requests, withdraws and inspects shard migrations, for the command line and other programs. */
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

/** Interval between reads of a migration record while waiting for the migration to end. */
const POLL_INTERVAL_MS = 100;

/** Leader and migrations of a shard, as stored in the state service. */
export interface ShardStatus {
  shard: number;
  /** Null while the shard has no leader. */
  leader: { name: string; term: number } | null;
  /** The migration under way; `unreadable` if its record is damaged or of a later version. */
  migration: MigrationRecord | 'unreadable' | null;
  /** How the last migration ended; null if there was none. */
  lastMigration: MigrationResult | null;
}

/** Outcome of a migration request. The command line prints `reason` unchanged. */
export type RequestOutcome =
  | { kind: 'moved'; term: number }
  /** The request has not moved the shard; `reason` says why. */
  | { kind: 'not-moved'; reason: string }
  /** The leader did not act on the request in time, and the request was withdrawn. */
  | { kind: 'ignored' };

/** Requests, withdraws and inspects migrations of one shard. Calls reject with NoAnswer or StateRefused. */
export class MigrationRequests {
  constructor(
    private readonly api: StateApi,
    private readonly clock: Clock,
    private readonly shard: number,
  ) {}

  /** Reads the leader of the shard, the migration under way and the result of the last one. */
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

  /** Requests a migration to the controller `target` and waits at most `withinS` seconds for it to end. */
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

  /** Stores the request; false if the leader has changed or another migration is under way. */
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
      ? 'there is a move whose record cannot be read'
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

  /** Withdraws the migration unless its source has quiesced; false if nothing was withdrawn. */
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
