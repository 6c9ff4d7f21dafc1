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
import type { MovableOwner, PartMoverOptions } from './part-mover.js';
import { sendTransaction } from './send-transaction.js';

/** Carries out what the owner of the part has to do for a move. */
export class SourceDuty {
  private state: SourceState = DECIDING;
  /** The term that the state is about; 0 while nothing is owned. */
  private term = 0;
  private paused = false;
  private pausedAt = -Infinity;
  private readonly clock: Clock;

  /** `wake` is to be called when a step may have become possible. */
  constructor(
    private readonly options: PartMoverOptions,
    private readonly wake: () => void,
  ) {
    this.clock = options.runtime.clock;
  }

  /** Does what is due; true if there may be more to do at once. */
  async step(move: SeenMove | null, signal: AbortSignal): Promise<boolean> {
    const owner = this.options.owner();
    const term = owner?.ready ? owner.term.term : 0;
    if (term !== this.term) this.beginTerm(term);
    if (owner === null || term === 0) return false;
    const { part, name, obstacle, limits } = this.options;
    const view = { part, term, name, obstacle, limits, move, paused: this.paused };
    const { state, action } = stepSource(this.state, { ...view, now: this.clock.now() });
    // Before anything is sent: from then on the grant may prove nothing.
    this.setState(state);
    return this.act(action, owner, signal);
  }

  private beginTerm(term: number): void {
    this.term = term;
    this.paused = false;
    this.setState(DECIDING);
  }

  private setState(state: SourceState): void {
    this.state = state;
    this.options.ownership.handover.successorPossibleSince = successorPossibleSince(state);
  }

  private async act(
    action: SourceAction,
    owner: MovableOwner,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { client, world } = this.options;
    switch (action.kind) {
      case 'wait':
        return false;
      case 'pause':
        this.pause(owner, action.to);
        return false;
      case 'resume':
        this.resume(owner);
        return true;
      case 'read':
        return this.read(owner, signal);
      case 'refuse':
        this.log('part not moved', { to: action.to, why: action.why });
        await sendTransaction(client, world, action.transaction, signal);
        return false;
      case 'quiesce':
      case 'retract':
        return this.send(action.transaction, owner, signal);
    }
  }

  private pause(owner: MovableOwner, to: string): void {
    this.paused = false;
    this.pausedAt = this.clock.now();
    this.log('part to be moved', { to });
    void owner.pause().then(() => {
      if (!this.isCurrent(owner)) return;
      this.paused = true;
      this.wake();
    });
  }

  private resume(owner: MovableOwner): void {
    this.paused = false;
    const pausedMs = Math.round((this.clock.now() - this.pausedAt) * 1000);
    this.log('part kept', { pausedMs });
    owner.resume();
  }

  private async send(
    transaction: Transaction,
    owner: MovableOwner,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { client, world } = this.options;
    const outcome = await sendTransaction(client, world, transaction, signal);
    if (!this.isCurrent(owner)) return false;
    const { state, action } = sourceAnswered(this.state, outcome, this.options);
    this.setState(state);
    if (action.kind === 'resume') this.resume(owner);
    return outcome.kind !== 'unknown';
  }

  /** Reads the move's record as the state service holds it now. */
  private async read(owner: MovableOwner, signal: AbortSignal): Promise<boolean> {
    const { client, part } = this.options;
    try {
      const entry = await client.call(true, signal, (api) => api.get(moveKey(part), signal));
      if (!this.isCurrent(owner)) return false;
      const seen = entry && { record: decodeMove(entry.value), version: entry.version };
      this.setState(sourceRead(this.state, seen));
      return true;
    } catch {
      return false;
    }
  }

  /** The term has not ended while something was awaited. */
  private isCurrent(owner: MovableOwner): boolean {
    return this.options.owner()?.term.term === owner.term.term;
  }

  private log(message: string, fields: object): void {
    const { log, part } = this.options;
    log.info({ part, term: this.term, ...fields }, message);
  }
}
