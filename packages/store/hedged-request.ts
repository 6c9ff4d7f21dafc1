/** Requests that are sent again beside the first while its answer is missing. */
import type { Clock, Timer } from '#wire';

/** Sends one attempt; the signal ends it. */
type Request<T> = (signal: AbortSignal) => Promise<T>;

/** Multiple of the longest expected time to an answer after which a request is sent again. */
const DELAY_FACTOR = 2;
/** Multiple of the longest time to an answer that is still expected after the next answer. */
const ANSWER_TIME_DECAY = 0.9;

/** When, and how often, a request is sent again. */
export interface HedgedRequestOptions {
  clock: Clock;
  /** A request is sent again after so many seconds without an answer, or later if answers are slow. */
  minDelayS: number;
  /** How often one request is sent at the most. */
  maxAttempts: number;
}

/**
 * Sends requests of one kind that are harmless to repeat, and sends one again beside the first while its
 * answer is missing: it may be lost, or slow on one connection only. If all answers are slow, more requests
 * would make them slower, so the delay grows with the time that answers take.
 */
export class HedgedRequests {
  /** The longest time that an answer is expected to take; seconds. */
  private maxExpectedAnswerS = 0;

  constructor(private readonly options: HedgedRequestOptions) {}

  /**
   * Resolves with the first answer, which ends all other attempts. Rejects with the last error once all
   * that were made have failed: a refusal is not repeated.
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

  /** Makes one attempt, and learns from the time to its answer. */
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

/** How the attempts of one request are made. */
interface Attempts<T> {
  clock: Clock;
  delayMs: number;
  maxAttempts: number;
  request: () => Promise<T>;
}

/** Resolves with the first answer; rejects with the last error once no attempt is left. */
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

          // eslint-disable-next-line @typescript-eslint/prefer-promise-reject-errors -- as it came
          reject(error);
        },
      );
    };
    attempt();
  });
}
