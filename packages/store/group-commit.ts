/** Group commit: batches small independent changes into shared transactions. */
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

/** The changes were applied at a revision of the store, or not applied since one of their conditions failed. */
export type CommitOutcome = { ok: true; revision: number } | { ok: false };

/** Maximum number of times that a change is sent while the service rate-limits it. */
const MAX_ATTEMPTS = 4;
/** Delay before a rate-limited change is sent again: a minimum, plus a random part up to the jitter. */
const MIN_RETRY_DELAY_MS = 50;
const RETRY_JITTER_MS = 100;

/** A commit request whose outcome is not known yet. */
interface PendingCommit extends CommitRequest {
  team: string;
  /** Number of times that it was sent. */
  attempts: number;
  resolve: (outcome: CommitOutcome) => void;
  reject: (error: unknown) => void;
}

/** Dependencies and limits of a `GroupCommit`. */
export interface GroupCommitOptions {
  client: StateClient;
  runtime: Runtime;
  /** Maximum number of queued requests. */
  maxQueue: number;
  /** Returns the weight of a team in the queue, above 0; by default all weights are equal. */
  weightOf?: (team: string) => number;
}

/**
 * Batches small independent changes into shared transactions; a failed condition fails only the request that
 * has it. While requests of several teams are queued, the teams are served in proportion to their weights.
 */
export class GroupCommit {
  private readonly queue: FairQueue<PendingCommit>;
  private sending = false;

  constructor(private readonly options: GroupCommitOptions) {
    this.queue = new FairQueue(options.weightOf);
  }

  /** Whether the queue is full, so that `commit` rejects. */
  get isFull(): boolean {
    return this.queue.length >= this.options.maxQueue;
  }

  /**
   * Estimated number of queued requests that are sent before a new request of the team, if no other request is added in
   * the meantime.
   */
  changesAhead(team: string): number {
    const untilTeamServed = this.queue.laneLength(team) / this.queue.shareOf(team);
    return Math.min(this.queue.length, untilTeamServed);
  }

  /** The fraction of all requests that are the team's while the teams with queued requests compete with it. */
  shareOf(team: string): number {
    return this.queue.shareOf(team);
  }

  /**
   * Applies the changes atomically if all conditions hold. Rejects with NoAnswer if the outcome is unknown,
   * with StateRefused if nothing was applied, and with TxnMalformed if a retry cannot succeed.
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
      // The batch is picked after the reservation, so that requests which arrive during the wait can join it.
      const reserved = await this.reserveChanges();
      await this.send(this.nextBatch(Math.max(1, reserved)), reserved);
    }
    this.sending = false;
  }

  private reserveChanges(): Promise<number> {
    return this.options.client.reserveForUsers(this.queue.length).catch(() => {
      // The client is closed, so the transaction fails as well and rejects the queued requests.
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

  /** Resolves the requests whose own conditions failed, and queues the others again. */
  private resolveFailed(batch: PendingCommit[], failedKeys: string[]): void {
    const keys = new Set(failedKeys);
    const dependsOnFailed = ({ conditions }: PendingCommit) =>
      conditions.some(({ key }) => keys.has(key));
    const dependent = batch.filter(dependsOnFailed);
    // If no request has a condition on a failed key, all requests of the batch count as failed.
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

  /**
   * Queues rate-limited requests again, and rejects those without attempts left. The service executed nothing, and
   * has capacity again soon: all controllers together exceeded the rate limit.
   */
  private async retryAfterRefusal(batch: PendingCommit[], error: StateRefused): Promise<void> {
    for (const commit of batch) if (commit.attempts >= MAX_ATTEMPTS) commit.reject(error);
    this.requeue(batch.filter(({ attempts }) => attempts < MAX_ATTEMPTS));
    const { client, runtime } = this.options;
    const delayMs = MIN_RETRY_DELAY_MS + runtime.random() * RETRY_JITTER_MS;
    // If the client closes meanwhile, the next transaction fails and rejects the remaining requests.
    await pause(runtime.clock, delayMs, client.closeSignal);
  }

  /** Puts requests back at the front of their teams' lanes, in the same order. */
  private requeue(batch: PendingCommit[]): void {
    for (const commit of [...batch].reverse()) this.queue.pushFront(commit.team, commit);
  }
}
