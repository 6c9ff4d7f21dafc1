/** The runs that are compared. */
import { Chance } from '../../random.js';
import { SMALL_CLUSTER } from '../cluster-settings.js';
import { randomScenario } from '../random-scenario.js';
import { BadArguments, type ComparisonOptions } from './options.js';
import type { PlannedRun, PlayedRun } from './run-outcome.js';
import { BadRunsFile, loadRuns } from './saved-runs.js';

/** A run, with the outcome to expect if it comes from a file. */
export interface ExpectedRun extends PlannedRun {
  outcome?: PlayedRun;
}

/** Long enough for three or four clusters of faults. */
const RANDOM_SCENARIO_LENGTH_S = 300;
/** Seeds of random scenarios unless others are chosen. */
const DEFAULT_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

/** The runs that the options choose; throws BadArguments if there are none. */
export function planRuns({ mode, recorded, seeds }: ComparisonOptions): ExpectedRun[] {
  const file = mode.kind === 'against' ? mode.file : recorded;
  if (file === null) return randomRuns(seeds ?? DEFAULT_SEEDS);
  const runs = loadFromArgument(file);
  const chosen = seeds === null ? runs : runs.filter(({ seed }) => seeds.includes(seed));
  if (chosen.length === 0) throw new BadArguments(`${file}: holds no runs with these seeds`);
  return chosen;
}

/** Random scenarios on the small cluster, one for each seed, which also draws the scenario. */
export function randomRuns(seeds: number[]): PlannedRun[] {
  return seeds.map((seed) => ({
    scenario: randomScenario(new Chance(seed), SMALL_CLUSTER, RANDOM_SCENARIO_LENGTH_S),
    seed,
  }));
}

function loadFromArgument(file: string) {
  try {
    return loadRuns(file);
  } catch (error) {
    if (error instanceof BadRunsFile) throw new BadArguments(error.message);
    throw error;
  }
}
