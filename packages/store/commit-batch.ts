/** Changes of several requests that share one transaction. */
import type { Change, Condition } from '#wire';
import { TXN_BYTES } from './state-limits.js';

/** Changes that are made together or not at all, and what they depend on. */
export interface CommitRequest {
  conditions: Condition[];
  changes: Change[];
  /** Size of conditions and changes in JSON. */
  bytes: number;
  /** It was in a transaction that the service called malformed, and shares none any more. */
  needsOwnTxn: boolean;
}

/** Fills one transaction, within its size, with requests that don't depend on the same keys. */
export class CommitBatch<Request extends CommitRequest> {
  readonly requests: Request[] = [];
  private readonly keys = new Set<string>();
  private changeCount = 0;
  private bytes = 0;

  constructor(private readonly maxChanges: number) {}

  /** Whether the request may join. The first one always may: what is too large is the service's to refuse. */
  accepts(request: Request): boolean {
    const first = this.requests.at(0);
    if (first === undefined) return true;
    if (first.needsOwnTxn || request.needsOwnTxn) return false;
    if (this.changeCount + request.changes.length > this.maxChanges) return false;
    if (this.bytes + request.bytes > TXN_BYTES) return false;
    return !request.conditions.some(({ key }) => this.keys.has(key));
  }

  /** Adds a request that `accepts` allows. */
  add(request: Request): void {
    this.requests.push(request);
    for (const { key } of request.conditions) this.keys.add(key);
    this.changeCount += request.changes.length;
    this.bytes += request.bytes;
  }
}
