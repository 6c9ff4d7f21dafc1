import type { SeenMove } from './move-record.js';
import {
  IDLE,
  mayTakeShard,
  stepTarget,
  type TargetAction,
  targetAnswered,
  type TargetState,
} from './move-target.js';
import type { ShardMigratorOptions } from './shard-migrator.js';
import { sendTransaction } from './send-transaction.js';

/** Carries out what the target of a move has to do. */
export class TransferTarget {
  private state: TargetState = IDLE;

  constructor(private readonly options: ShardMigratorOptions) {}

  /** Does what is due; true if there may be more to do at once. */
  async step(move: SeenMove | null, signal: AbortSignal): Promise<boolean> {
    const { election, shard, name, canLead, leader } = this.options;
    const { state, action } = stepTarget(this.state, {
      shard,
      name,
      leaseId: election.provenLeaseId,
      shardVersion: election.currentLeader?.version ?? 0,
      move,
      ready: canLead() && leader() === null,
    });
    if (move?.record?.to !== name && leader() === null) this.options.ahead.forget();
    // Before anything is sent: from then on we may own without knowing.
    this.setState(state);
    return this.act(action, signal);
  }

  /** False if that failed, and is to be tried again. */
  private async readAhead(signal: AbortSignal): Promise<boolean> {
    try {
      await this.options.ahead.prepare(signal);
      return true;
    } catch {
      return false;
    }
  }

  private setState(state: TargetState): void {
    this.state = state;
    this.options.election.transfer.mayTakeShard = mayTakeShard(state);
  }

  private async act(action: TargetAction, signal: AbortSignal): Promise<boolean> {
    const { client, world, log, shard } = this.options;
    if (action.kind === 'wait') return false;
    if (action.kind === 'prepare' && !(await this.readAhead(signal))) return false;
    const outcome = await sendTransaction(client, world, action.transaction, signal);
    this.setState(targetAnswered(this.state, outcome));
    if (outcome.kind !== 'applied') return false;
    log.info({ part: shard }, action.kind === 'switch' ? 'part taken' : 'ready for the part');
    return true;
  }
}
