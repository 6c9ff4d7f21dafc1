/** The fault that requests are carried out, at once or late, and never answered. */
import { sleep, type Runtime } from '#wire';
import { uniform, type Span } from './distributions.js';

/** Requests that get no answer, and when they are carried out all the same. */
export interface LostReplies {
  /** Fraction of the requests, from 0 to 1. */
  share: number;
  /** Seconds until one is carried out; null: at once. */
  delayS: Span | null;
}

/** Decides which requests lose their answer and waits out their delays. */
export class ReplyLoss {
  private fault: LostReplies | null = null;

  constructor(private readonly runtime: Runtime) {}

  begin(fault: LostReplies): void {
    this.fault = fault;
  }

  end(): void {
    this.fault = null;
  }

  /** The fault that hits the next request, or null. */
  draw(): LostReplies | null {
    const { fault } = this;
    return fault && this.runtime.random() < fault.share ? fault : null;
  }

  /** Resolves when the request that was hit is to be carried out. */
  async due({ delayS }: LostReplies): Promise<void> {
    if (delayS === null) return;
    const waitS = uniform(() => this.runtime.random(), delayS);
    await sleep(this.runtime.clock, waitS * 1000);
  }
}
