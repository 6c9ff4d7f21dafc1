/** Follows the election and leads each term that this controller wins. */
import { filter } from 'rxjs';
import { listAll, type Term } from '#store';
import { signalAborted, pause } from '#wire';
import type { ReadRecords } from '../records/record-loader.js';
import { TermLostError } from '../records/term-lost-error.js';
import type { ControllerServices } from '../services.js';
import {
  type AttemptOutcome,
  LeadershipAttempt,
  type LeadershipAttemptOptions,
} from './leadership-attempt.js';
import type { ShardLeader } from './shard-leader.js';
import { applyWriteShares } from './write-shares.js';

/** Delay between a failed load of the records and the next attempt, in heartbeat intervals. */
const RELOAD_DELAY_INTERVALS = 1 / 5;

/** Dependencies of the terms. */
export interface LeadershipTermsOptions
  extends LeadershipAttemptOptions, Pick<ControllerServices, 'election'> {}

/** Leads the shard and reconciles its machines with the cloud while this controller holds the leader key. */
export class LeadershipTerms {
  /** The current attempt; null while this controller does not lead. */
  private attempt: LeadershipAttempt | null = null;
  /** The term that this controller leads, and the AbortController that ends it. */
  private currentTerm: { id: number; end: AbortController } | null = null;
  private readRecords: ReadRecords = (prefix, signal) =>
    listAll(this.options.client, prefix, signal);
  /** All terms that have not ended yet. Earlier terms may still be shutting down beside the current one. */
  private readonly running = new Set<Promise<void>>();

  constructor(private readonly options: LeadershipTermsOptions) {}

  /** The leader of the current term; null while this controller does not lead. */
  get leader(): ShardLeader | null {
    return this.attempt?.leader ?? null;
  }

  /** Replaces the function with which new leaders read their records. */
  setRecordReader(readRecords: ReadRecords): void {
    this.readRecords = readRecords;
  }

  /** Follows the election until the signal aborts. Resolves once all terms have ended. */
  async run(signal: AbortSignal): Promise<void> {
    this.updateWriteShares(false);
    const terms = this.options.election.term
      .pipe(filter((term) => term?.term !== this.currentTerm?.id))
      .subscribe((term) => {
        this.changeTerm(term, signal);
      });
    await signalAborted(signal);
    terms.unsubscribe();
    await Promise.all(this.running);
  }

  /** Stops all decisions. Resolves once none is in flight to the state service or the cloud. */
  async pause(): Promise<void> {
    await this.attempt?.pause();
  }

  /** Resumes decisions after a pause. */
  resume(): void {
    this.attempt?.resume();
  }

  private changeTerm(term: Term | null, signal: AbortSignal): void {
    this.currentTerm?.end.abort();
    this.currentTerm = null;
    this.attempt = null;
    this.updateWriteShares(term !== null);
    if (!term) return;
    this.options.log.info({ term: term.term }, 'leader elected');
    const end = new AbortController();
    this.currentTerm = { id: term.term, end };
    const done = this.lead(term, AbortSignal.any([signal, end.signal]));
    this.running.add(done);
    void done.finally(() => this.running.delete(done));
  }

  private updateWriteShares(leads: boolean): void {
    const { settings, client } = this.options;
    applyWriteShares(client, settings.deployment.nodes, leads);
  }

  /** Leads one term until it ends. Replaces a leader that failed to load its records by a new one. */
  private async lead(term: Term, signal: AbortSignal): Promise<void> {
    let outcome: AttemptOutcome = 'retry';
    while (outcome === 'retry' && !signal.aborted) {
      const attempt = new LeadershipAttempt(this.options, term, this.readRecords);
      this.attempt = attempt;
      outcome = await attempt.run(signal, (err) => this.handleFailure(attempt.leader, err, signal));
    }
  }

  private async handleFailure(
    leader: ShardLeader,
    err: unknown,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const { runtime, settings, log } = this.options;
    if (signal.aborted) return 'over';
    if (endsTerm(leader, err)) {
      this.stepDown(leader, err);
      return 'over';
    }
    log.debug({ err: String(err) }, 'leader failed to load its records: loading again');
    const delayMs = RELOAD_DELAY_INTERVALS * settings.deployment.workers.report_s * 1000;
    await pause(runtime.clock, delayMs, signal);
    return 'retry';
  }

  private stepDown({ term }: ShardLeader, err: unknown): void {
    const { log, election } = this.options;
    const fields = { err: String(err), term: term.term };
    log.info(fields, 'leader stepped down: its term cannot go on');
    election.resign();
  }
}

/**
 * Whether the error ends the term. Once orders may have been sent, only the existing fleet state knows which of them
 * may still reach workers, so a new leader can't rebuild that state within the same term.
 */
function endsTerm(leader: ShardLeader, err: unknown): boolean {
  return err instanceof TermLostError || leader.recordsLoaded;
}
