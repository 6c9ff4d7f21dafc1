/** The targets that a fault hit, and how the fault ends. */
/** Targets that a fault hit when it began, and the function that ends the fault. */
export interface FaultEffect {
  /** Names of the controllers that the fault hit. */
  controllers: string[];
  /** Names of the machines that the fault hit. */
  machines: string[];
  /** Ids of the jobs that the fault hit. */
  jobs: string[];
  /** Ends the fault; null for a fault without a duration. */
  end: (() => void) | null;
}

/** Makes an effect with the given fields; by default it hits nothing and has no end. */
export function makeEffect(overrides: Partial<FaultEffect>): FaultEffect {
  return { controllers: [], machines: [], jobs: [], end: null, ...overrides };
}
