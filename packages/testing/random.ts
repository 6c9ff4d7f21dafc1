import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A pseudo-random number generator with a seed. */
export class SeededRandom {
  private readonly source;

  constructor(seed: number) {
    this.source = xoroshiro128plus(seed);
  }

  /** Uniform among the integers from `from` to `to`, both included. */
  int(from: number, to: number): number {
    return uniformInt(this.source, from, to);
  }

  /** Uniform in [0, 1). */
  next(): number {
    return this.int(0, 0xffffff) / 0x1000000;
  }

  /** True with probability `p`. */
  withProbability(p: number): boolean {
    return this.next() < p;
  }
}
