import { Change, Condition, NoAnswer, StateRefused } from '#wire';
import { StateClient } from './client.js';

export type CommitOutcome = { ok: true; revision: number } | { ok: false };

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
      const conditions = batch.flatMap((i) => i.conditions);
      const changes = batch.flatMap((i) => i.changes);
      try {
        const out = await this.client.txn(conditions, changes, false);
        if (out.ok) for (const i of batch) i.resolve({ ok: true, revision: out.revision });
        else if ('failed' in out) this.split(batch, out.failed);
        else for (const i of batch) i.resolve({ ok: false });
      } catch (err) {
        const known = err instanceof StateRefused || err instanceof NoAnswer;
        for (const i of batch) i.reject(known ? err : new NoAnswer(String(err)));
      }
    }
    this.running = false;
  }

  private nextBatch(): Intent[] {
    const batch: Intent[] = [];
    const keys = new Set<string>();
    const maxOps = this.client.txnChanges;
    let ops = 0;
    // Half of the transaction's 64 KiB, so that one more of the largest still fits.
    let bytes = 0;
    while (this.queue.length > 0) {
      const next = this.queue[0];
      if (batch.length > 0) {
        if (ops + next.changes.length > maxOps) break;
        if (bytes > 32 * 1024) break;
        if (next.conditions.some((c) => keys.has(c.key))) break;
      }
      this.queue.shift();
      batch.push(next);
      ops += next.changes.length;
      for (const c of next.conditions) keys.add(c.key);
      bytes += sizeOf(next.changes);
    }
    return batch;
  }

  private split(batch: Intent[], failed: string[]): void {
    const bad = new Set(failed);
    const again: Intent[] = [];
    for (const i of batch) {
      if (i.conditions.some((c) => bad.has(c.key))) i.resolve({ ok: false });
      else again.push(i);
    }
    if (again.length === batch.length) for (const i of again) i.resolve({ ok: false });
    else this.queue.unshift(...again);
  }
}

export function sizeOf(changes: Change[]): number {
  return JSON.stringify(changes).length;
}
