/** Response times of the services. */
import { sleep, type Runtime } from '#wire';
import { uniform, type Span } from './distributions.js';

/** How long a service takes: a usual span, and now and then a longer one. Milliseconds. */
export interface LatencyProfile {
  usualMs: Span;
  /** Share of requests that take the longer span. */
  slowShare: number;
  slowMs: Span;
}

/** The usual response times. */
export const PROMPT: LatencyProfile = { usualMs: [1, 9], slowShare: 0.002, slowMs: [100, 400] };

/** Delays requests; some of each delay passes before the request is executed, the rest after it. */
export class Latency {
  profile: LatencyProfile = PROMPT;

  constructor(private readonly runtime: Runtime) {}

  async around<T>(execute: () => T | Promise<T>): Promise<T> {
    const totalMs = this.draw();
    const beforeMs = totalMs * this.runtime.random();
    await sleep(this.runtime.clock, beforeMs);
    const result = await execute();
    await sleep(this.runtime.clock, totalMs - beforeMs);
    return result;
  }

  private draw(): number {
    const { usualMs, slowShare, slowMs } = this.profile;
    const random = () => this.runtime.random();
    return uniform(random, random() < slowShare ? slowMs : usualMs);
  }
}
