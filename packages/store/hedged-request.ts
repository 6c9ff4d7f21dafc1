/** Hedged requests: another attempt is sent in parallel while the first has no answer. */
import type { Clock, Timer } from '#wire';

/** Sends one attempt; the signal cancels it. */
type Request<T> = (signal: AbortSignal) => Promise<T>;

/** Multiple of the longest expected response time after which a request is sent again. */
const DELAY_FACTOR = 2;
/** Factor by which each answer reduces the longest expected response time, unless that answer took longer. */
const ANSWER_TIME_DECAY = 0.9;

/** Timing and number of the attempts of a request. */
export interface HedgedRequestOptions {
  clock: Clock;
  /** Minimum time without an answer after which a request is sent again; slow answers make it longer. */
  minDelayS: number;
  /** Maximum number of attempts of one request. */
  maxAttempts: number;
}

/**
 * Sends idempotent requests of one kind. While a request has no answer, further attempts are sent in
 * parallel: the answer may be lost, or slow on one connection only. If all answers are slow, more requests
 * would slow them further, so the delay between attempts grows with the response time.
 */
export class HedgedRequests {
  /** Longest expected response time. */
  private maxExpectedAnswerS = 0;

  constructor(private readonly options: HedgedRequestOptions) {}

  /**
   * Resolves with the first answer, and cancels all other attempts. Rejects with the last error once all
   * attempts in flight have failed: a failure itself triggers no further attempt.
   */
  async run<T>(request: Request<T>, signal: AbortSignal): Promise<T> {
    const { clock, minDelayS: baseDelayS, maxAttempts } = this.options;
    const delayMs = Math.max(baseDelayS, DELAY_FACTOR * this.maxExpectedAnswerS) * 1000;
    const attempts = new AbortController();
    const cancel = () => {
      attempts.abort(signal.reason);
    };
    if (signal.aborted) cancel();
    signal.addEventListener('abort', cancel, { once: true });
    const attempt = () => this.timeAttempt(request, attempts.signal);
    try {
      return await waitForFirstAnswer({ clock, delayMs, maxAttempts, request: attempt });
    } finally {
      signal.removeEventListener('abort', cancel);
      attempts.abort();
    }
  }

  /** Makes one attempt, and updates the expected response time from it. */
  private async timeAttempt<T>(request: Request<T>, signal: AbortSignal): Promise<T> {
    const { clock } = this.options;
    const sentAt = clock.now();
    const answer = await request(signal);
    this.maxExpectedAnswerS = Math.max(
      clock.now() - sentAt,
      ANSWER_TIME_DECAY * this.maxExpectedAnswerS,
    );
    return answer;
  }
}

/** Parameters for the attempts of one request. */
interface Attempts<T> {
  clock: Clock;
  delayMs: number;
  maxAttempts: number;
  request: () => Promise<T>;
}

/** Makes the attempts; resolves with the first answer, or rejects with the last error once all in flight have failed. */
function waitForFirstAnswer<T>({ clock, delayMs, maxAttempts, request }: Attempts<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    let attemptsMade = 0;
    let pendingAttempts = 0;
    let timer: Timer | null = null;
    const attempt = () => {
      attemptsMade++;
      pendingAttempts++;
      timer = attemptsMade < maxAttempts ? clock.setTimer(attempt, delayMs) : null;
      request().then(
        (answer) => {
          timer?.cancel();
          resolve(answer);
        },
        (error: unknown) => {
          if (--pendingAttempts > 0) return;
          timer?.cancel();

          // eslint-disable-next-line @typescript-eslint/prefer-promise-reject-errors -- passed on unchanged
          reject(error);
        },
      );
    };
    attempt();
  });
}
