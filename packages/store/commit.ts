import { Change, Condition, NoAnswer, StateRefused } from '#wire';
import { StateClient } from './client.js';

export type CommitOutcome = { ok: true; revision: number } | { ok: false };

/** Half of a transaction's 64 KiB, so that one more of the largest changes still fits. */
const BATCH_BYTES = 32 * 1024;

interface Intent {
  conditions: Condition[];
  changes: Change[];
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

  /** Rejects with NoAnswer if the outcome is unknown, with StateRefused if nothing was done. */
  commit(conditions: Condition[], changes: Change[]): Promise<CommitOutcome> {
    return new Promise((resolve, reject) => {
      if (this.full) {
        reject(new StateRefused(429));
        return;
      }
      this.queue.push({ conditions, changes, resolve, reject });
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
        const known = err instanceof StateRefused || err instanceof NoAnswer;
        for (const { reject } of batch) reject(known ? err : new NoAnswer(String(err)));
      }
    }
    this.running = false;
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
        if (bytes > BATCH_BYTES) break;
        if (next.conditions.some(({ key }) => keys.has(key))) break;
      }
      this.queue.shift();
      batch.push(next);
      ops += next.changes.length;
      for (const { key } of next.conditions) keys.add(key);
      bytes += sizeOf(next.changes);
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

/** Length in JSON, by which the state service's limits count. */
export function sizeOf(changes: Change[]): number {
  return JSON.stringify(changes).length;
}
