import type { Clock, Timer } from '#wire';

type Request<T> = (signal: AbortSignal) => Promise<T>;

/** Multiple of the usual time to an answer after which a request is sent again. */
const PATIENCE = 2;
/** Share of the longest time to an answer that is still expected after the next answer. */
const MEMORY = 0.9;

export interface HedgeOptions {
  clock: Clock;
  /** A request is sent again after so many seconds without an answer, or later if answers are slow. */
  leastDelayS: number;
  /** How often one request is sent at the most. */
  maxAttempts: number;
}

/**
 * Sends requests of one kind that are harmless to repeat, and sends one again beside the first while its
 * answer is missing: it may be lost, or slow on one connection only. If all answers are slow, more requests
 * would make them slower, so the delay grows with the time that answers take.
 */
export class Hedge {
  /** The longest time that an answer took, forgotten by and by; seconds. */
  private answerS = 0;

  constructor(private readonly options: HedgeOptions) {}

  /**
   * Resolves with the first answer, which ends all other attempts. Rejects with the last error once all
   * that were made have failed: a refusal is not repeated.
   */
  async run<T>(request: Request<T>, signal: AbortSignal): Promise<T> {
    const { clock, leastDelayS, maxAttempts } = this.options;
    const delayMs = Math.max(leastDelayS, PATIENCE * this.answerS) * 1000;
    const attempts = new AbortController();
    const cancel = () => attempts.abort(signal.reason);
    if (signal.aborted) cancel();
    signal.addEventListener('abort', cancel, { once: true });
    const timed = () => this.timed(request, attempts.signal);
    try {
      return await firstAnswer({ clock, delayMs, maxAttempts, request: timed });
    } finally {
      signal.removeEventListener('abort', cancel);
      attempts.abort();
    }
  }

  private async timed<T>(request: Request<T>, signal: AbortSignal): Promise<T> {
    const { clock } = this.options;
    const sentAt = clock.now();
    const answer = await request(signal);
    this.answerS = Math.max(clock.now() - sentAt, MEMORY * this.answerS);
    return answer;
  }
}

interface Attempts<T> {
  clock: Clock;
  delayMs: number;
  maxAttempts: number;
  request: () => Promise<T>;
}

function firstAnswer<T>({ clock, delayMs, maxAttempts, request }: Attempts<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    let made = 0;
    let underWay = 0;
    let timer: Timer | null = null;
    const attempt = () => {
      made++;
      underWay++;
      timer = made < maxAttempts ? clock.setTimer(attempt, delayMs) : null;
      request().then(
        (answer) => {
          timer?.cancel();
          resolve(answer);
        },
        (err: unknown) => {
          if (--underWay > 0) return;
          timer?.cancel();
          reject(err as Error);
        },
      );
    };
    attempt();
  });
}
