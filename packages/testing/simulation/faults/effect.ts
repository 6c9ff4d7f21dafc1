/** What a fault has hit and how it ends. */
/** What beginning a fault did. */
export interface FaultEffect {
  /** Names of the controllers that it hit. */
  controllers: string[];
  /** Names of the machines that it hit. */
  machines: string[];
  /** Ids of the jobs that it hit. */
  jobs: string[];
  /** Ends it; a fault of a single moment needs none. */
  end: (() => void) | null;
}

/** An effect that hits nothing and needs no end, but for what is given. */
export function makeEffect(overrides: Partial<FaultEffect>): FaultEffect {
  return { controllers: [], machines: [], jobs: [], end: null, ...overrides };
}
