import fc from 'fast-check';

/** Every generated test draws from a fixed seed, so that it reaches the same verdict every time. */
export const SEEDED = { seed: 20260901, numRuns: 300 };

/** Records with the ordinary prototype, as decoded messages have. */
export function record<T>(model: { [K in keyof T]: fc.Arbitrary<T[K]> }): fc.Arbitrary<T> {
  return fc.record(model, { noNullPrototype: true }) as fc.Arbitrary<T>;
}
