/** The runs that are compared. */
import { Chance } from '../../random.js';
import { SMALL_CLUSTER } from '../cluster-settings.js';
import { randomScenario } from '../random-scenario.js';
import type { PlannedRun } from './run-outcome.js';

/** Long enough for three or four clusters of faults. */
const RANDOM_LENGTH_S = 300;

/** Random scenarios on the small cluster, one for each seed, which also draws the scenario. */
export function randomRuns(seeds: number[]): PlannedRun[] {
  return seeds.map((seed) => ({
    scenario: randomScenario(new Chance(seed), SMALL_CLUSTER, RANDOM_LENGTH_S),
    seed,
  }));
}
