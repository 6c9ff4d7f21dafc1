/**
 * Program of a child process that executes one run with the simulated cluster of a built checkout. The checkout may
 * be older than this program, so the program uses only `runScenario` of the checkout, and no simulation of its own
 * build.
 */
import path from 'node:path';
import { pathToFileURL } from 'node:url';
import { inspect } from 'node:util';
import type { runScenario } from '../run-scenario.js';
import { outcomeOf, type PlannedRun, type RunOutcome } from './run-outcome.js';

/** Message to the child process, which answers with a RunOutcome and exits. */
export interface PlayRequest {
  /** Path of the module that exports `runScenario`. */
  simulation: string;
  run: PlannedRun;
}

interface SimulationModule {
  runScenario: typeof runScenario;
}

async function play({ simulation, run }: PlayRequest): Promise<RunOutcome> {
  try {
    const url = pathToFileURL(path.resolve(simulation)).href;
    const loaded = (await import(url)) as SimulationModule;
    return outcomeOf(await loaded.runScenario(run.scenario, run.seed));
  } catch (error) {
    return { kind: 'failed', reason: inspect(error) };
  }
}

async function handleRequest(request: PlayRequest): Promise<void> {
  const outcome = await play(request);
  // The run may leave timers behind, which would keep the process alive.
  if (process.send === undefined) throw new Error('this program runs only as a child process');
  process.send(outcome, () => process.exit());
}

process.once('message', (request) => void handleRequest(request as PlayRequest));
process.once('disconnect', () => process.exit());
