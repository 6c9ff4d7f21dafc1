/** The HTTP requests of users. */
import {
  NoAnswer,
  UserClient,
  type JobView,
  type Phase,
  type Runtime,
  type UserAnswer,
} from '#wire';
import type { Observer, RequestKind, UserRequest } from '../events.js';

/** How long users wait for a response, in milliseconds. */
const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
/** So high that no request waits for a free connection of its client. */
const MAX_SOCKETS = 1000;

/** The response to a request; functions use null if no response came. */
export interface UserResponse {
  status: number;
  phase: Phase | null;
  retryAfterS: number;
}

/** Sends the requests of users to one address and reports each request and its outcome to the observer. */
export class UserRequests {
  private readonly client: UserClient;

  constructor(
    runtime: Runtime,
    address: string,
    private readonly observer: Observer,
  ) {
    this.client = new UserClient(address, SUBMIT_TIMEOUT_MS, runtime, MAX_SOCKETS);
  }

  /** Submits a job; `body` is in the form of the wire. */
  submit(job: string, body: unknown): Promise<UserResponse | null> {
    return this.sendObserved('submit', job, () => this.client.submitRaw(body));
  }

  poll(job: string): Promise<UserResponse | null> {
    return this.sendObserved('poll', job, () => this.client.status(job, POLL_TIMEOUT_MS));
  }

  cancel(job: string): Promise<UserResponse | null> {
    return this.sendObserved('abort', job, () => this.client.abort(job));
  }

  close(): void {
    this.client.close();
  }

  private async sendObserved(
    kind: RequestKind,
    job: string,
    send: () => Promise<UserAnswer>,
  ): Promise<UserResponse | null> {
    const request: UserRequest = { kind, job };
    this.observer({ kind: 'asked', request });
    try {
      const { status, retryAfterS, job: view } = await send();
      const phase = status < 300 ? ((view as JobView | null)?.phase ?? null) : null;
      this.observer({ kind: 'answered', request, status, phase });
      return { status, phase, retryAfterS: retryAfterS ?? 0 };
    } catch (err) {
      if (!(err instanceof NoAnswer)) throw err;
      this.observer({ kind: 'unanswered', request });
      return null;
    }
  }
}

/** Whether the response says that the job is accepted. */
export function isAcceptance(response: UserResponse | null): boolean {
  return response?.status === 200 || response?.status === 201;
}

/** Whether the response says that the job is done or cancelled. */
export function isFinal(response: UserResponse | null): boolean {
  return response?.status === 200 && (response.phase === 'done' || response.phase === 'aborted');
}
