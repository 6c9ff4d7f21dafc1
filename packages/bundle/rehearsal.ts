/** Runs what controllers run in a small simulated cluster, so that all of it gets compiled. */
import { closeSync, openSync } from 'node:fs';
import { devNull } from 'node:os';
import { fileURLToPath } from 'node:url';
import { type ControllerMaker, describeProblems, runScenario, SMALL_CLUSTER } from '#testing';
import type { Program } from '../cli/launch.cjs';
import { USUAL_CLASSES } from '../testing/stand-ins/index.js';

const EXAMPLE_SETTINGS = fileURLToPath(new URL('../../examples/settings.toml', import.meta.url));
const SEED = 1;
/** Simulated seconds: long enough for machines to boot, and for jobs to come, run, be cancelled and end. */
const SCENARIO_LENGTH_S = 90;
const LAST_SUBMISSION_S = 70;
/** By then work runs, which the next leader takes over. */
const FAILOVER_S = 50;

/**
 * Simulates a small cluster whose controllers are the program's own, with users, machines and a failover. Rejects if
 * anything went wrong.
 */
export async function warmUp(program: Program): Promise<void> {
  program.loadSettings(EXAMPLE_SETTINGS, null);
  const logFile = openSync(devNull, 'w');
  const make: ControllerMaker = (runtime, settings) => {
    const log = program.makeLog(runtime.clock, settings.host_name, 'info', logFile);
    return new program.Controller(runtime, settings, log);
  };
  const scenario = {
    name: 'rehearsal',
    cluster: SMALL_CLUSTER,
    workload: { classes: USUAL_CLASSES, intensity: 2, untilS: LAST_SUBMISSION_S },
    faults: [
      { kind: 'controller-crash', controllers: 'leader', atS: FAILOVER_S, downS: 5 } as const,
    ],
    lengthS: SCENARIO_LENGTH_S,
  };
  const problems = describeProblems(await runScenario(scenario, SEED, make));
  closeSync(logFile);
  if (problems.length > 0) throw new Error(`the rehearsal failed: ${problems.join('; ')}`);
}
