/** I/O of the target of a transfer: runs its state machine and carries out the actions. */
import type { LeaderElection, PrefixCache, StateClient } from '#store';
import type { ObservedMigration } from './migration-record.js';
import type { RecordPrefetch } from './record-prefetch.js';
import { sendTransaction } from './send-transaction.js';
import {
  IDLE,
  mayTakeShard,
  stepTarget,
  type TargetAction,
  handleTargetOutcome,
  type TargetState,
} from './target-state-machine.js';
import type { MigrationLog, TransferableLeader } from './transferable-leader.js';

/** Dependencies of a `TransferTarget`. */
export interface TransferTargetOptions {
  client: StateClient;
  /** Holds the records of the shard and of its migrations. */
  world: PrefixCache;
  election: LeaderElection;
  /** This controller's name. */
  name: string;
  shard: number;
  /** The leader in this controller; null while this controller does not lead. */
  leader: () => TransferableLeader | null;
  /** Whether the state service serves this controller and all jobs are loaded. */
  canLead: () => boolean;
  /** Prefetches the records that a new leader loads. */
  prefetch: Pick<RecordPrefetch, 'prepare' | 'clear'>;
  log: MigrationLog;
}

/** Carries out the target's side of a transfer. */
export class TransferTarget {
  private state: TargetState = IDLE;

  constructor(private readonly options: TransferTargetOptions) {}

  /** Takes one step; true if another may be possible at once. */
  async step(migration: ObservedMigration | null, signal: AbortSignal): Promise<boolean> {
    const { prefetch, election, shard, name, canLead, leader } = this.options;
    const { state, action } = stepTarget(this.state, {
      shard,
      name,
      leaseId: election.validLeaseId,
      shardVersion: election.currentLeader?.version ?? 0,
      migration,
      ready: canLead() && leader() === null,
    });
    if (migration?.record?.target !== name && leader() === null) prefetch.clear();
    // The state is set before the transaction is sent: from then on this controller may lead without knowing.
    this.setState(state);
    return this.act(action, signal);
  }

  private setState(state: TargetState): void {
    this.state = state;
    this.options.election.transfer.mayTakeShard = mayTakeShard(state);
  }

  private async act(action: TargetAction, signal: AbortSignal): Promise<boolean> {
    const { client, world, log, shard } = this.options;
    if (action.kind === 'wait') return false;
    if (action.kind === 'prepare' && !(await this.prefetch(signal))) return false;
    const outcome = await sendTransaction(client, world, action.transaction, signal);
    this.setState(handleTargetOutcome(this.state, outcome));
    if (outcome.kind !== 'applied') return false;
    const message =
      action.kind === 'switch'
        ? 'shard migration completed: this controller leads the shard'
        : 'shard migration prepared: this controller is ready to lead the shard';
    log.info({ shard }, message);
    return true;
  }

  /** Loads the records that have not been prefetched yet; false if a read failed. */
  private async prefetch(signal: AbortSignal): Promise<boolean> {
    try {
      await this.options.prefetch.prepare(signal);
      return true;
    } catch {
      // A failed read changes nothing: the next step prefetches what is missing.
      return false;
    }
  }
}
