/** A fault that hits a share of all requests: they lose their answers, are executed late, or arrive once more. */
import { sleep, type Runtime } from '#wire';
import { uniform, type Span } from './distributions.js';

/** Share of requests that are hit, and the delay until they, or their copies, are executed. */
export interface RequestFaultSettings {
  /** Fraction of the requests, from 0 to 1. */
  share: number;
  /** Seconds; null: at once. */
  delayS: Span | null;
}

/** Selects the requests that a fault hits, and delays their execution or that of their copies. */
export class RequestFault {
  private settings: RequestFaultSettings | null = null;

  constructor(private readonly runtime: Runtime) {}

  begin(settings: RequestFaultSettings): void {
    this.settings = settings;
  }

  /** Ends the fault. Requests and copies that are delayed are still executed. */
  end(): void {
    this.settings = null;
  }

  /** Decides whether the next request is hit: returns the settings of the fault, or null. */
  draw(): RequestFaultSettings | null {
    const { settings } = this;
    return settings && this.runtime.random() < settings.share ? settings : null;
  }

  /** Resolves when a request that is hit is to be executed. */
  async waitForDelay({ delayS }: RequestFaultSettings): Promise<void> {
    if (delayS === null) return;
    const waitS = uniform(() => this.runtime.random(), delayS);
    await sleep(this.runtime.clock, waitS * 1000);
  }

  /** Resolves when a copy of a request that was just executed arrives, with false if there is no copy. */
  async nextCopy(): Promise<boolean> {
    const hit = this.draw();
    if (hit === null) return false;
    await this.waitForDelay(hit);
    return true;
  }
}
