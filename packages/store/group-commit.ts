import {
  Change,
  Condition,
  NoAnswer,
  pause,
  type Runtime,
  StateRefused,
  TxnMalformed,
} from '#wire';
import { StateClient } from './state-client.js';
import { FairQueue } from './fair-queue.js';
import { sizeInJson, TXN_BYTES } from './txn-limits.js';

export type CommitOutcome = { ok: true; revision: number } | { ok: false };

/** How often a change is sent at the most while the service refuses it for the rate. */
const MAX_SENDS = 4;
/** Before a change that was refused for the rate is sent again: at least so long, and up to so much longer. */
const RESEND_MS = 50;
const RESEND_SPREAD_MS = 100;

interface Intent {
  team: string;
  conditions: Condition[];
  changes: Change[];
  bytes: number;
  /** It was in a transaction that the service called malformed, and is sent by itself. */
  suspect: boolean;
  sends: number;
  resolve: (outcome: CommitOutcome) => void;
  reject: (err: unknown) => void;
}

export interface GroupCommitOptions {
  client: StateClient;
  runtime: Runtime;
  /** Changes that may wait. */
  maxQueue: number;
  /** Weight of a team beside the others whose changes wait, positive; equal by default. */
  weightOf?: (team: string) => number;
}

/**
 * Group commit: small independent changes share transactions; one that fails leaves the others. While
 * changes of several teams wait, they take turns by the teams' weights.
 */
export class GroupCommit {
  private readonly queue: FairQueue<Intent>;
  private running = false;

  constructor(private readonly options: GroupCommitOptions) {
    this.queue = new FairQueue(options.weightOf);
  }

  get full(): boolean {
    return this.queue.length >= this.options.maxQueue;
  }

  /** Changes that are sent before one that the team would add now, if no other is added. */
  ahead(team: string): number {
    const ofTeam = this.queue.lengthOf(team) / this.queue.shareOf(team);
    return Math.min(this.queue.length, ofTeam);
  }

  /** The part of all changes that the team has beside the teams whose changes wait now. */
  shareOf(team: string): number {
    return this.queue.shareOf(team);
  }

  /**
   * Rejects with NoAnswer if the outcome is unknown, with StateRefused if nothing was done, and with
   * TxnMalformed if the change can't be made.
   */
  commit(team: string, conditions: Condition[], changes: Change[]): Promise<CommitOutcome> {
    return new Promise((resolve, reject) => {
      if (this.full) {
        reject(new StateRefused(429));
        return;
      }
      const bytes = sizeInJson(conditions) + sizeInJson(changes);
      const progress = { bytes, suspect: false, sends: 0 };
      this.queue.push(team, { team, conditions, changes, ...progress, resolve, reject });
      if (!this.running) {
        this.running = true;
        void this.drain();
      }
    });
  }

  private async drain(): Promise<void> {
    const { client } = this.options;
    while (this.queue.length > 0) {
      // The turn first, then what takes part: whoever comes meanwhile needs not wait for the next.
      const reserved = await client.reserveForUsers(this.queue.length).catch(() => 0);
      const batch = this.nextBatch(Math.max(1, reserved));
      await this.send(batch, reserved);
    }
    this.running = false;
  }

  private async send(batch: Intent[], reserved: number): Promise<void> {
    const conditions = batch.flatMap((intent) => intent.conditions);
    const changes = batch.flatMap((intent) => intent.changes);
    for (const intent of batch) intent.sends++;
    try {
      const out = await this.options.client.userTxn(conditions, changes, reserved);
      if (out.ok) for (const { resolve } of batch) resolve({ ok: true, revision: out.revision });
      else if ('failed' in out) this.split(batch, out.failed);
      else for (const { resolve } of batch) resolve({ ok: false });
    } catch (err) {
      await this.fail(batch, err);
    }
  }

  private async fail(batch: Intent[], err: unknown): Promise<void> {
    if (err instanceof TxnMalformed && batch.length > 1) {
      for (const intent of batch) intent.suspect = true;
      this.sendAgain(batch);
      return;
    }
    if (err instanceof StateRefused && err.status === 429) {
      await this.waitForRate(batch, err);
      return;
    }
    const isKnown =
      err instanceof StateRefused || err instanceof NoAnswer || err instanceof TxnMalformed;
    for (const { reject } of batch) reject(isKnown ? err : new NoAnswer(String(err)));
  }

  /** The service did nothing, and will soon have room: all controllers together asked for too much. */
  private async waitForRate(batch: Intent[], err: StateRefused): Promise<void> {
    for (const intent of batch) if (intent.sends >= MAX_SENDS) intent.reject(err);
    this.sendAgain(batch.filter(({ sends }) => sends < MAX_SENDS));
    const { client, runtime } = this.options;
    const delayMs = RESEND_MS + runtime.random() * RESEND_SPREAD_MS;
    // A client that is closed fails what is left.
    await pause(runtime.clock, delayMs, client.closed);
  }

  /** Puts changes back in front of those that their teams have queued, in the same order. */
  private sendAgain(batch: Intent[]): void {
    for (const intent of [...batch].reverse()) this.queue.pushBack(intent.team, intent);
  }

  private nextBatch(maxOps: number): Intent[] {
    const batch: Intent[] = [];
    const keys = new Set<string>();
    let ops = 0;
    let bytes = 0;
    for (let next = this.queue.peek(); next; next = this.queue.peek()) {
      if (batch.length > 0) {
        if (ops + next.changes.length > maxOps) break;
        if (bytes + next.bytes > TXN_BYTES) break;
        if (next.suspect || batch[0].suspect) break;
        if (next.conditions.some(({ key }) => keys.has(key))) break;
      }
      this.queue.shift(next.changes.length);
      batch.push(next);
      ops += next.changes.length;
      for (const { key } of next.conditions) keys.add(key);
      bytes += next.bytes;
    }
    return batch;
  }

  /** Those whose own conditions failed are told so; the others go again. */
  private split(batch: Intent[], failed: string[]): void {
    const failedKeys = new Set(failed);
    const isFailed = ({ conditions }: Intent) => conditions.some(({ key }) => failedKeys.has(key));
    const failing = batch.filter(isFailed);
    // A failure that none of them explains is every one's.
    const told = failing.length > 0 ? failing : batch;
    for (const { resolve } of told) resolve({ ok: false });
    this.sendAgain(batch.filter((intent) => !told.includes(intent)));
  }
}
