/** Runs the bundled program's controllers in a small simulated cluster, so that V8 compiles their code. */
import { closeSync, openSync } from 'node:fs';
import { devNull } from 'node:os';
import { fileURLToPath } from 'node:url';
import { type ControllerMaker, describeProblems, runScenario, SMALL_CLUSTER } from '#testing';
import type { Program } from '../cli/launch.cjs';
import { USUAL_CLASSES } from '../testing/stand-ins/index.js';

const EXAMPLE_SETTINGS = fileURLToPath(new URL('../../examples/settings.toml', import.meta.url));
const SEED = 1;
/** Simulated seconds: long enough for machines to boot, and for jobs to be submitted, run, be cancelled and end. */
const SCENARIO_LENGTH_S = 90;
const LAST_SUBMISSION_S = 70;
/** Simulated second of the leader's crash. Tasks run by then, and the next leader takes them over. */
const FAILOVER_S = 50;

/**
 * Simulates a small cluster that runs the controllers of the bundled program, with users, machines and a failover.
 * Rejects if the simulation reports a problem.
 */
export async function warmUp(program: Program): Promise<void> {
  program.loadSettings(EXAMPLE_SETTINGS, null);
  const logFile = openSync(devNull, 'w');
  const make: ControllerMaker = (runtime, settings) => {
    const log = program.makeLog(runtime.clock, settings.host_name, 'info', logFile);
    return new program.Controller(runtime, settings, log);
  };
  const scenario = {
    name: 'warm-up',
    cluster: SMALL_CLUSTER,
    workload: { classes: USUAL_CLASSES, intensity: 2, untilS: LAST_SUBMISSION_S },
    faults: [
      { kind: 'controller-crash', controllers: 'leader', atS: FAILOVER_S, downS: 5 } as const,
    ],
    lengthS: SCENARIO_LENGTH_S,
  };
  const problems = describeProblems(await runScenario(scenario, SEED, make));
  closeSync(logFile);
  if (problems.length > 0) throw new Error(`the warm-up simulation failed: ${problems.join('; ')}`);
}
