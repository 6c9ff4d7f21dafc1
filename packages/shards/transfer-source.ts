import type { Clock } from '#wire';
import { decodeMove, moveKey, type SeenMove, type Transaction } from './move-record.js';
import {
  DECIDING,
  type SourceAction,
  sourceAnswered,
  sourceRead,
  type SourceState,
  stepSource,
  successorPossibleSince,
} from './move-source.js';
import type { TransferableLeader, ShardMigratorOptions } from './shard-migrator.js';
import { sendTransaction } from './send-transaction.js';

/** Carries out what the owner of the part has to do for a move. */
export class TransferSource {
  private state: SourceState = DECIDING;
  /** The term that the state is about; 0 while nothing is owned. */
  private term = 0;
  private paused = false;
  private pausedAt = -Infinity;
  private readonly clock: Clock;

  /** `wake` is to be called when a step may have become possible. */
  constructor(
    private readonly options: ShardMigratorOptions,
    private readonly wake: () => void,
  ) {
    this.clock = options.runtime.clock;
  }

  /** Does what is due; true if there may be more to do at once. */
  async step(move: SeenMove | null, signal: AbortSignal): Promise<boolean> {
    const leader = this.options.leader();
    const term = leader?.ready ? leader.term.term : 0;
    if (term !== this.term) this.beginTerm(term);
    if (leader === null || term === 0) return false;
    const { shard, name, obstacle, limits } = this.options;
    const view = { shard, term, name, obstacle, limits, move, paused: this.paused };
    const { state, action } = stepSource(this.state, { ...view, now: this.clock.now() });
    // Before anything is sent: from then on the grant may prove nothing.
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
        this.pause(leader, action.to);
        return false;
      case 'resume':
        this.resume(leader);
        return true;
      case 'read':
        return this.read(leader, signal);
      case 'refuse':
        this.log('part not moved', { to: action.to, why: action.why });
        await sendTransaction(client, world, action.transaction, signal);
        return false;
      case 'quiesce':
      case 'retract':
        return this.send(action.transaction, leader, signal);
    }
  }

  private pause(leader: TransferableLeader, to: string): void {
    this.paused = false;
    this.pausedAt = this.clock.now();
    this.log('part to be moved', { to });
    void leader.pause().then(() => {
      if (!this.isCurrent(leader)) return;
      this.paused = true;
      this.wake();
    });
  }

  private resume(leader: TransferableLeader): void {
    this.paused = false;
    const pausedMs = Math.round((this.clock.now() - this.pausedAt) * 1000);
    this.log('part kept', { pausedMs });
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
    const { state, action } = sourceAnswered(this.state, outcome, this.options);
    this.setState(state);
    if (action.kind === 'resume') this.resume(leader);
    return outcome.kind !== 'unknown';
  }

  /** Reads the move's record as the state service holds it now. */
  private async read(leader: TransferableLeader, signal: AbortSignal): Promise<boolean> {
    const { client, shard } = this.options;
    try {
      const entry = await client.call(true, signal, (api) => api.get(moveKey(shard), signal));
      if (!this.isCurrent(leader)) return false;
      const seen = entry && { record: decodeMove(entry.value), version: entry.version };
      this.setState(sourceRead(this.state, seen));
      return true;
    } catch {
      return false;
    }
  }

  /** The term has not ended while something was awaited. */
  private isCurrent(leader: TransferableLeader): boolean {
    return this.options.leader()?.term.term === leader.term.term;
  }

  private log(message: string, fields: object): void {
    const { log, shard } = this.options;
    log.info({ part: shard, term: this.term, ...fields }, message);
  }
}
