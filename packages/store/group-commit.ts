/** Group commit: small independent changes share transactions. */
import {
  type Change,
  type Condition,
  NoAnswer,
  pause,
  type Runtime,
  StateRefused,
  TxnMalformed,
} from '#wire';
import { CommitBatch, type CommitRequest } from './commit-batch.js';
import { FairQueue } from './fair-queue.js';
import { isRefusedForRate, rateRefusal } from './rate-refusal.js';
import type { StateClient } from './state-client.js';
import { sizeInJson } from './state-limits.js';

/** The changes were made at a revision of the store, or were not since one of their own conditions failed. */
export type CommitOutcome = { ok: true; revision: number } | { ok: false };

/** How often a change is sent at the most while the service refuses it for the rate. */
const MAX_ATTEMPTS = 4;
/** Before a change that was refused for the rate is sent again: at least so long, and up to so much longer. */
const MIN_RETRY_DELAY_MS = 50;
const RETRY_JITTER_MS = 100;

/** A request whose outcome is still to come. */
interface PendingCommit extends CommitRequest {
  team: string;
  /** How often it was sent. */
  attempts: number;
  resolve: (outcome: CommitOutcome) => void;
  reject: (error: unknown) => void;
}

/** What group commit needs, and how it shares. */
export interface GroupCommitOptions {
  client: StateClient;
  runtime: Runtime;
  /** Changes that may wait. */
  maxQueue: number;
  /** Weight of a team beside the others whose changes wait, positive; equal by default. */
  weightOf?: (team: string) => number;
}

/**
 * Puts small independent changes into shared transactions; one that fails leaves the others. While
 * changes of several teams wait, they take turns by the teams' weights.
 */
export class GroupCommit {
  private readonly queue: FairQueue<PendingCommit>;
  private sending = false;

  constructor(private readonly options: GroupCommitOptions) {
    this.queue = new FairQueue(options.weightOf);
  }

  /** No change may be added now. */
  get isFull(): boolean {
    return this.queue.length >= this.options.maxQueue;
  }

  /** Changes that are sent before one that the team would add now, if no other is added. */
  changesAhead(team: string): number {
    const untilTeamServed = this.queue.laneLength(team) / this.queue.shareOf(team);
    return Math.min(this.queue.length, untilTeamServed);
  }

  /** The share of all changes that the team has beside the teams whose changes wait now. */
  shareOf(team: string): number {
    return this.queue.shareOf(team);
  }

  /**
   * Makes changes together if all conditions hold. Rejects with NoAnswer if the outcome is unknown, with
   * StateRefused if nothing was done, and with TxnMalformed if the changes can't be made.
   */
  commit(team: string, conditions: Condition[], changes: Change[]): Promise<CommitOutcome> {
    return new Promise((resolve, reject) => {
      if (this.isFull) {
        reject(rateRefusal());
        return;
      }
      const bytes = sizeInJson(conditions) + sizeInJson(changes);
      const request = { conditions, changes, bytes, needsOwnTxn: false };
      this.queue.push(team, { ...request, team, attempts: 0, resolve, reject });
      if (this.sending) return;
      this.sending = true;
      void this.sendAll();
    });
  }

  private async sendAll(): Promise<void> {
    while (this.queue.length > 0) {
      // The turn first, then what takes part: whoever comes meanwhile needs not wait for the next.
      const reserved = await this.reserveChanges();
      await this.send(this.nextBatch(Math.max(1, reserved)), reserved);
    }
    this.sending = false;
  }

  private reserveChanges(): Promise<number> {
    return this.options.client.reserveForUsers(this.queue.length).catch(() => {
      // The client is closed, so that the transaction fails as well and tells those that wait.
      return 0;
    });
  }

  private nextBatch(maxChanges: number): PendingCommit[] {
    const batch = new CommitBatch<PendingCommit>(maxChanges);
    for (;;) {
      const next = this.queue.peek();
      if (!next || !batch.accepts(next)) return batch.requests;
      this.queue.shift(next.changes.length);
      batch.add(next);
    }
  }

  private async send(batch: PendingCommit[], reserved: number): Promise<void> {
    const conditions = batch.flatMap((commit) => commit.conditions);
    const changes = batch.flatMap((commit) => commit.changes);
    for (const commit of batch) commit.attempts++;
    try {
      const outcome = await this.options.client.userTxn(conditions, changes, reserved);
      if (outcome.ok) {
        for (const { resolve } of batch) resolve({ ok: true, revision: outcome.revision });
      } else if ('failed' in outcome) {
        this.resolveFailed(batch, outcome.failed);
      } else {
        for (const { resolve } of batch) resolve({ ok: false });
      }
    } catch (error) {
      await this.handleError(batch, error);
    }
  }

  /** Tells those whose own conditions failed; the others go again. */
  private resolveFailed(batch: PendingCommit[], failedKeys: string[]): void {
    const keys = new Set(failedKeys);
    const dependsOnFailed = ({ conditions }: PendingCommit) =>
      conditions.some(({ key }) => keys.has(key));
    const dependent = batch.filter(dependsOnFailed);
    // A failure that none of them explains is every one's.
    const failed = dependent.length > 0 ? dependent : batch;
    for (const { resolve } of failed) resolve({ ok: false });
    this.requeue(batch.filter((commit) => !failed.includes(commit)));
  }

  private async handleError(batch: PendingCommit[], error: unknown): Promise<void> {
    if (error instanceof TxnMalformed && batch.length > 1) {
      for (const commit of batch) commit.needsOwnTxn = true;
      this.requeue(batch);
      return;
    }
    if (isRefusedForRate(error)) {
      await this.retryAfterRefusal(batch, error);
      return;
    }
    const isKnown =
      error instanceof StateRefused || error instanceof NoAnswer || error instanceof TxnMalformed;
    for (const { reject } of batch) reject(isKnown ? error : new NoAnswer(String(error)));
  }

  /** The service did nothing, and will soon serve again: all controllers together asked for too much. */
  private async retryAfterRefusal(batch: PendingCommit[], error: StateRefused): Promise<void> {
    for (const commit of batch) if (commit.attempts >= MAX_ATTEMPTS) commit.reject(error);
    this.requeue(batch.filter(({ attempts }) => attempts < MAX_ATTEMPTS));
    const { client, runtime } = this.options;
    const delayMs = MIN_RETRY_DELAY_MS + runtime.random() * RETRY_JITTER_MS;
    // A client that is closed fails what is left.
    await pause(runtime.clock, delayMs, client.closed);
  }

  /** Puts changes back in front of those that their teams have queued, in the same order. */
  private requeue(batch: PendingCommit[]): void {
    for (const commit of [...batch].reverse()) this.queue.pushFront(commit.team, commit);
  }
}
