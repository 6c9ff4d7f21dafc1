/** Simulated response times of the cloud and the state service. */
import { sleep, type Runtime } from '#wire';
import { uniform, type Span } from './distributions.js';

/** Response times in milliseconds: a usual range, and a longer range for some requests. */
export interface LatencyProfile {
  usualMs: Span;
  /** Share of requests whose response time is drawn from `slowMs`. */
  slowShare: number;
  slowMs: Span;
}

/** Response times of a service that is not slowed down by a fault. */
export const NORMAL_LATENCY: LatencyProfile = {
  usualMs: [1, 9],
  slowShare: 0.002,
  slowMs: [100, 400],
};

/** Delays requests. A random part of each delay passes before the request is executed, the rest after. */
export class Latency {
  profile: LatencyProfile = NORMAL_LATENCY;

  constructor(private readonly runtime: Runtime) {}

  async delay<T>(execute: () => T | Promise<T>): Promise<T> {
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
