import { sleep, type Runtime } from '#wire';

/** Requests that get no answer, and when they are carried out all the same. */
export interface LostReplies {
  /** Part of the requests, from 0 to 1. */
  share: number;
  /** Seconds until one is carried out; null: at once. */
  delayS: [least: number, most: number] | null;
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
    const [least, most] = delayS;
    const waitS = least + (most - least) * this.runtime.random();
    await sleep(this.runtime.clock, waitS * 1000);
  }
}
