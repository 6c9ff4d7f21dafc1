import { Change, Condition, NoAnswer, StateRefused, TxnMalformed } from '#wire';
import { StateClient } from './client.js';
import { sizeInJson, TXN_BYTES } from './txn-limits.js';

export type CommitOutcome = { ok: true; revision: number } | { ok: false };

interface Intent {
  conditions: Condition[];
  changes: Change[];
  bytes: number;
  /** It was in a transaction that the service called malformed, and is sent by itself. */
  suspect: boolean;
  resolve: (outcome: CommitOutcome) => void;
  reject: (err: unknown) => void;
}

/** Group commit: small independent changes share transactions; one that fails leaves the others. */
export class GroupCommit {
  private readonly queue: Intent[] = [];
  private running = false;

  constructor(
    private readonly client: StateClient,
    private readonly maxQueue: number,
  ) {}

  get full(): boolean {
    return this.queue.length >= this.maxQueue;
  }

  /**
   * Rejects with NoAnswer if the outcome is unknown, with StateRefused if nothing was done, and with
   * TxnMalformed if the change can't be made.
   */
  commit(conditions: Condition[], changes: Change[]): Promise<CommitOutcome> {
    return new Promise((resolve, reject) => {
      if (this.full) {
        reject(new StateRefused(429));
        return;
      }
      const bytes = sizeInJson(conditions) + sizeInJson(changes);
      const intent = { conditions, changes, bytes, suspect: false, resolve, reject };
      this.queue.push(intent);
      if (!this.running) {
        this.running = true;
        void this.drain();
      }
    });
  }

  private async drain(): Promise<void> {
    while (this.queue.length > 0) {
      const batch = this.nextBatch();
      const conditions = batch.flatMap((intent) => intent.conditions);
      const changes = batch.flatMap((intent) => intent.changes);
      try {
        const out = await this.client.txn(conditions, changes, false);
        if (out.ok) for (const { resolve } of batch) resolve({ ok: true, revision: out.revision });
        else if ('failed' in out) this.split(batch, out.failed);
        else for (const { resolve } of batch) resolve({ ok: false });
      } catch (err) {
        this.fail(batch, err);
      }
    }
    this.running = false;
  }

  private fail(batch: Intent[], err: unknown): void {
    if (err instanceof TxnMalformed && batch.length > 1) {
      for (const intent of batch) intent.suspect = true;
      this.queue.unshift(...batch);
      return;
    }
    const isKnown =
      err instanceof StateRefused || err instanceof NoAnswer || err instanceof TxnMalformed;
    for (const { reject } of batch) reject(isKnown ? err : new NoAnswer(String(err)));
  }

  private nextBatch(): Intent[] {
    const batch: Intent[] = [];
    const keys = new Set<string>();
    const maxOps = this.client.txnChanges;
    let ops = 0;
    let bytes = 0;
    while (this.queue.length > 0) {
      const next = this.queue[0];
      if (batch.length > 0) {
        if (ops + next.changes.length > maxOps) break;
        if (bytes + next.bytes > TXN_BYTES) break;
        if (next.suspect || batch[0].suspect) break;
        if (next.conditions.some(({ key }) => keys.has(key))) break;
      }
      this.queue.shift();
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
    const again: Intent[] = [];
    for (const intent of batch) {
      const isFailed = intent.conditions.some(({ key }) => failedKeys.has(key));
      if (isFailed) intent.resolve({ ok: false });
      else again.push(intent);
    }
    if (again.length === batch.length) for (const { resolve } of again) resolve({ ok: false });
    else this.queue.unshift(...again);
  }
}
