import { Job, JobView, jobToWire } from './job.js';
import { CborClient } from './http.js';
import { nodeRuntime } from './runtime.js';

/** A user's client: submit, query, abort. */
export class UserClient {
  private readonly http: CborClient;

  constructor(
    address: string,
    private readonly timeoutMs = 5000,
    runtime = nodeRuntime,
  ) {
    this.http = new CborClient(runtime, address, 2);
  }

  submit(job: Job) {
    return this.call('POST', '/submissions', jobToWire(job));
  }
  /** Sends a body as it stands, in the protocol's words. */
  submitRaw(body: unknown) {
    return this.call('POST', '/submissions', body);
  }
  status(id: string) {
    return this.call('GET', `/submissions/${id}`);
  }
  abort(id: string) {
    return this.call('POST', `/submissions/${id}/abort`);
  }
  close(): void {
    this.http.close();
  }

  private async call(method: string, path: string, body?: unknown) {
    const res = await this.http.call(method, path, { timeoutMs: this.timeoutMs, body });
    return {
      status: res.status,
      retryAfterS: res.retryAfterS,
      job: res.body as JobView | { error?: string } | null,
    };
  }
}
