/** A fault in which requests are executed, at once or late, but never answered. */
import { sleep, type Runtime } from '#wire';
import { uniform, type Span } from './distributions.js';

/** Share of requests that get no answer, and when these requests are executed. */
export interface LostReplies {
  /** Fraction of the requests, from 0 to 1. */
  share: number;
  /** Seconds until such a request is executed; null: at once. */
  delayS: Span | null;
}

/** Selects the requests that lose their answer, and delays their execution. */
export class ReplyLoss {
  private fault: LostReplies | null = null;

  constructor(private readonly runtime: Runtime) {}

  begin(fault: LostReplies): void {
    this.fault = fault;
  }

  end(): void {
    this.fault = null;
  }

  /** Decides whether the next request is affected: returns the fault, or null. */
  drawFault(): LostReplies | null {
    const { fault } = this;
    return fault && this.runtime.random() < fault.share ? fault : null;
  }

  /** Resolves when an affected request is to be executed. */
  async waitForDelay({ delayS }: LostReplies): Promise<void> {
    if (delayS === null) return;
    const waitS = uniform(() => this.runtime.random(), delayS);
    await sleep(this.runtime.clock, waitS * 1000);
  }
}
