/** Batches the changes of several commit requests into one transaction. */
import type { Change, Condition } from '#wire';
import { MAX_TXN_BYTES } from './state-limits.js';

/** Changes that are applied atomically, and the conditions on which they depend. */
export interface CommitRequest {
  conditions: Condition[];
  changes: Change[];
  /** Size of conditions and changes in bytes of JSON. */
  bytes: number;
  /** The service rejected a shared transaction with this request as malformed, so the request is retried alone. */
  needsOwnTxn: boolean;
}

/** Collects requests for one transaction within its limits; no two of them have a condition on the same key. */
export class CommitBatch<Request extends CommitRequest> {
  readonly requests: Request[] = [];
  private readonly keys = new Set<string>();
  private changeCount = 0;
  private bytes = 0;

  constructor(private readonly maxChanges: number) {}

  /** Whether the request fits into the batch. An empty batch accepts any: the service rejects what is too large. */
  accepts(request: Request): boolean {
    const first = this.requests.at(0);
    if (first === undefined) return true;
    if (first.needsOwnTxn || request.needsOwnTxn) return false;
    if (this.changeCount + request.changes.length > this.maxChanges) return false;
    if (this.bytes + request.bytes > MAX_TXN_BYTES) return false;
    return !request.conditions.some(({ key }) => this.keys.has(key));
  }

  /** Adds a request for which `accepts` returned true. */
  add(request: Request): void {
    this.requests.push(request);
    for (const { key } of request.conditions) this.keys.add(key);
    this.changeCount += request.changes.length;
    this.bytes += request.bytes;
  }
}
