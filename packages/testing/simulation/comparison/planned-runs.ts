/** Selects the runs that are compared. */
import { SeededRandom } from '../../random.js';
import { SMALL_CLUSTER } from '../cluster-settings.js';
import { randomScenario } from '../random-scenario.js';
import { BadArguments, type ComparisonOptions } from './options.js';
import type { PlannedRun, PlayedRun } from './run-outcome.js';
import { BadRunsFile, loadRuns } from './saved-runs.js';

/** A run, with the expected outcome if the run was loaded from a file. */
export interface ExpectedRun extends PlannedRun {
  outcome?: PlayedRun;
}

/** Simulated seconds of a random scenario, which leave room for three or four groups of faults. */
const RANDOM_SCENARIO_LENGTH_S = 300;
/** Default seeds of random scenarios. */
const DEFAULT_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

/** Selects runs by the options; throws BadArguments if a file can't be read or has no run with these seeds. */
export function planRuns({ mode, recorded, seeds }: ComparisonOptions): ExpectedRun[] {
  const file = mode.kind === 'against' ? mode.file : recorded;
  if (file === null) return randomRuns(seeds ?? DEFAULT_SEEDS);
  const runs = loadFromArgument(file);
  const chosen = seeds === null ? runs : runs.filter(({ seed }) => seeds.includes(seed));
  if (chosen.length === 0) throw new BadArguments(`${file}: holds no runs with these seeds`);
  return chosen;
}

/** Runs of random scenarios on the small cluster. Each seed generates the scenario and drives the run. */
export function randomRuns(seeds: number[]): PlannedRun[] {
  return seeds.map((seed) => ({
    scenario: randomScenario(new SeededRandom(seed), SMALL_CLUSTER, RANDOM_SCENARIO_LENGTH_S),
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
