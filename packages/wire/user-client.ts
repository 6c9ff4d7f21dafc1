/** The public client for users of the service (docs/clients.md). */
import { type Job, jobToWire, type JobView } from './job.js';
import { CborClient } from './cbor-client.js';
import { nodeRuntime } from './runtime.js';

/** The service's answer to a user's request. */
export interface UserAnswer {
  status: number;
  /** Seconds to wait before a retry; null if the service names no delay. */
  retryAfterS: number | null;
  /** The job, or the reason why the request was refused. */
  job: JobView | { error?: string } | null;
}

const DEFAULT_TIMEOUT_MS = 5000;
const MAX_SOCKETS = 2;

/** A client for users: submits, queries and cancels jobs. A call without a usable answer rejects with NoAnswer. */
export class UserClient {
  private readonly http: CborClient;

  constructor(
    address: string,
    private readonly timeoutMs = DEFAULT_TIMEOUT_MS,
    runtime = nodeRuntime,
    maxSockets = MAX_SOCKETS,
  ) {
    this.http = new CborClient(runtime, address, maxSockets);
  }

  /** Submits a job; a retry with the same id is safe. */
  submit(job: Job): Promise<UserAnswer> {
    return this.submitRaw(jobToWire(job));
  }

  /** Submits a body that already has the protocol's field names, without checking it. */
  submitRaw(body: unknown): Promise<UserAnswer> {
    return this.call('POST', '/submissions', this.timeoutMs, body);
  }

  /** Queries the state of a job. */
  status(id: string, timeoutMs = this.timeoutMs): Promise<UserAnswer> {
    return this.call('GET', `/submissions/${id}`, timeoutMs);
  }

  /** Cancels a job. */

  // eslint-disable-next-line local/retired-words -- the public client API keeps this name
  abort(id: string): Promise<UserAnswer> {
    return this.call('POST', `/submissions/${id}/abort`, this.timeoutMs);
  }

  /** Cancels all calls in flight and closes all connections. */
  close(): void {
    this.http.close();
  }

  private async call(
    method: string,
    path: string,
    timeoutMs: number,
    body?: unknown,
  ): Promise<UserAnswer> {
    const answer = await this.http.call(method, path, { timeoutMs, body });
    const { status, retryAfterS } = answer;
    return { status, retryAfterS, job: answer.body as UserAnswer['job'] };
  }
}
