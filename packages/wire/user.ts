import { Job, JobView, jobToWire } from './job.js';
import { CborClient } from './http.js';
import { nodeRuntime } from './runtime.js';

/** What the service answered a user. */
export interface UserAnswer {
  status: number;
  /** Seconds to wait before a repetition; null if the service does not say. */
  retryAfterS: number | null;
  /** The job, or why it was refused. */
  job: JobView | { error?: string } | null;
}

const MAX_SOCKETS = 2;

/** A user's client: submit, query, abort. Each call rejects with NoAnswer. */
export class UserClient {
  private readonly http: CborClient;

  constructor(
    address: string,
    private readonly timeoutMs = 5000,
    runtime = nodeRuntime,
    maxSockets = MAX_SOCKETS,
  ) {
    this.http = new CborClient(runtime, address, maxSockets);
  }

  /** Submits a job; a repetition with the same id is safe. */
  submit(job: Job): Promise<UserAnswer> {
    return this.submitRaw(jobToWire(job));
  }

  /** Sends a body as it stands, in the protocol's words. */
  submitRaw(body: unknown): Promise<UserAnswer> {
    return this.call('POST', '/submissions', this.timeoutMs, body);
  }

  /** Asks how a job is. */
  status(id: string, timeoutMs = this.timeoutMs): Promise<UserAnswer> {
    return this.call('GET', `/submissions/${id}`, timeoutMs);
  }

  /** Cancels a job. */
  abort(id: string): Promise<UserAnswer> {
    return this.call('POST', `/submissions/${id}/abort`, this.timeoutMs);
  }

  /** Ends all calls and connections. */
  close(): void {
    this.http.close();
  }

  private async call(method: string, path: string, timeoutMs: number, body?: unknown) {
    const {
      status,
      retryAfterS,
      body: job,
    } = await this.http.call(method, path, {
      timeoutMs,
      body,
    });
    return { status, retryAfterS, job: job as UserAnswer['job'] };
  }
}
