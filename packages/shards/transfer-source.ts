/** I/O of the source of a transfer: runs its state machine and carries out the actions. */
import type { Clock, Runtime } from '#wire';
import type { LeaderElection, PrefixCache, StateClient } from '#store';
import { migrationKey, type ObservedMigration } from './migration-record.js';
import { decodeMigration } from './migration-record-codec.js';
import { sendTransaction } from './send-transaction.js';
import {
  DECIDING,
  type MigrationLimits,
  type SourceAction,
  handleSourceOutcome,
  handleSourceRead,
  type SourceState,
  type SourceView,
  stepSource,
  successorPossibleSince,
} from './source-state-machine.js';
import type { Transaction } from './migration-transaction.js';
import type { MigrationLog, TransferableLeader } from './transferable-leader.js';

const MS_PER_S = 1000;

/** Dependencies and limits of a `TransferSource`. */
export interface TransferSourceOptions {
  runtime: Pick<Runtime, 'clock'>;
  client: StateClient;
  /** Holds the records of the shard and of its migrations. */
  world: PrefixCache;
  election: LeaderElection;
  /** This controller's name. */
  name: string;
  shard: number;
  limits: MigrationLimits;
  /** The leader in this controller; null while this controller does not lead. */
  leader: () => TransferableLeader | null;
  /** Returns what keeps a controller from becoming the leader now; null if nothing does. */
  findObstacle: (controller: string) => string | null;
  log: MigrationLog;
}

/** Carries out the source's side of a transfer. */
export class TransferSource {
  private state: SourceState = DECIDING;
  /** Term to which the state belongs; 0 while this controller has no leader that is ready. */
  private term = 0;
  private paused = false;
  /** When the last pause began; seconds of the monotonic clock. */
  private pausedAt = -Infinity;
  private readonly clock: Clock;

  /** `wake` is called when a step may have become possible. */
  constructor(
    private readonly options: TransferSourceOptions,
    private readonly wake: () => void,
  ) {
    this.clock = options.runtime.clock;
  }

  /** Takes one step; true if another may be possible at once. */
  async step(migration: ObservedMigration | null, signal: AbortSignal): Promise<boolean> {
    const leader = this.options.leader();
    const term = leader?.ready ? leader.term.term : 0;
    if (term !== this.term) this.beginTerm(term);
    if (leader === null || term === 0) return false;
    const { shard, name, findObstacle, limits } = this.options;
    const { paused } = this;
    const now = this.clock.now();
    const view: SourceView = {
      now,
      shard,
      term,
      name,
      migration,
      paused,
      findObstacle,
      limits,
    };
    const { state, action } = stepSource(this.state, view);
    // The state is set before the transaction is sent: from then on the election lease may not prove leadership.
    this.setState(state);
    return this.act(action, leader, signal);
  }

  private beginTerm(term: number): void {
    this.term = term;
    this.paused = false;
    this.setState(DECIDING);
  }

  private setState(state: SourceState): void {
    this.state = state;
    this.options.election.transfer.successorPossibleSince = successorPossibleSince(state);
  }

  private async act(
    action: SourceAction,
    leader: TransferableLeader,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { client, world } = this.options;
    switch (action.kind) {
      case 'wait':
        return false;
      case 'pause':
        this.pause(leader, action.target);
        return false;
      case 'resume':
        this.resume(leader);
        return true;
      case 'read':
        return this.readMigration(leader, signal);
      case 'refuse': {
        const { target, failureReason } = action;
        this.log('shard migration refused', { target, reason: failureReason });
        await sendTransaction(client, world, action.transaction, signal);
        return false;
      }
      case 'quiesce':
      case 'retract':
        return this.send(action.transaction, leader, signal);
    }
  }

  private pause(leader: TransferableLeader, target: string): void {
    this.paused = false;
    this.pausedAt = this.clock.now();
    this.log('shard migration started: decisions stop', { target });
    void leader.pause().then(() => {
      if (!this.isCurrent(leader)) return;
      this.paused = true;
      this.wake();
    });
  }

  private resume(leader: TransferableLeader): void {
    this.paused = false;
    const pausedMs = Math.round((this.clock.now() - this.pausedAt) * MS_PER_S);
    this.log('shard migration undone: decisions resume', { pausedMs });
    leader.resume();
  }

  private async send(
    transaction: Transaction,
    leader: TransferableLeader,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { client, world } = this.options;
    const outcome = await sendTransaction(client, world, transaction, signal);
    if (!this.isCurrent(leader)) return false;
    const { state, action } = handleSourceOutcome(this.state, outcome, this.options);
    this.setState(state);
    if (action.kind === 'resume') this.resume(leader);
    return outcome.kind !== 'unknown';
  }

  /** Reads the migration record from the state service; false if the read failed or the term has ended. */
  private async readMigration(leader: TransferableLeader, signal: AbortSignal): Promise<boolean> {
    const { client, shard } = this.options;
    try {
      const entry = await client.callUrgent(signal, (api) => api.get(migrationKey(shard), signal));
      if (!this.isCurrent(leader)) return false;
      const lastRead = entry && { record: decodeMigration(entry.value), version: entry.version };
      this.setState(handleSourceRead(this.state, lastRead));
      return true;
    } catch {
      // After any failure the state still requires the read, so the next step tries again.
      return false;
    }
  }

  /** Whether the leader's term is still the current one; it may have ended during an await. */
  private isCurrent(leader: TransferableLeader): boolean {
    return this.options.leader()?.term.term === leader.term.term;
  }

  private log(message: string, fields: object): void {
    const { log, shard } = this.options;
    log.info({ shard, term: this.term, ...fields }, message);
  }
}
