/**
 * Runs scenarios of combined faults and queries the results: which controller confirmed a cancellation and when,
 * which controller answered heartbeats, and which tasks were killed.
 */
import assert from 'node:assert/strict';
import { parseHostPort } from '#wire';
import {
  CANCEL_PATH,
  describeProblems,
  HEARTBEAT_PATH,
  runScenario,
  type Scenario,
  type ScenarioResult,
} from '../simulation/index.js';
import { outcomeOf } from '../simulation/comparison/run-outcome.js';
import { appendRun } from '../simulation/comparison/saved-runs.js';
import { LEASE_S } from './steady-work.js';

/** The first answer that told a user that a job is cancelled. */
export interface ConfirmedCancellation {
  job: string;
  atS: number;
  /** Name of the controller that sent the answer. */
  controller: string;
}

/**
 * Runs a scenario with several seeds. Asserts that no rule is violated; the check asserts that the faults coincided
 * as intended. The environment variable `MEETING_SEEDS=4-20` replaces the seeds by these, for a wider search, and
 * `MEETING_RUNS=FILE` appends each run to a file for simulation/compare-runs.
 */
export async function runScenarioWithSeeds(
  scenario: Scenario,
  seeds: number[],
  check: (result: ScenarioResult) => void | Promise<void>,
): Promise<void> {
  for (const seed of seedsFromEnvironment() ?? seeds) {
    const result = await runScenario(scenario, seed);
    saveRun(result);
    try {
      assert.deepEqual(describeProblems(result), []);
      await check(result);
    } catch (error) {
      throw new Error(`${scenario.name}, seed ${seed}: ${String(error)}`, { cause: error });
    }
  }
}

function saveRun(result: ScenarioResult): void {
  const file = process.env.MEETING_RUNS;
  if (file === undefined) return;
  const { scenario, seed } = result;
  appendRun(file, { scenario, seed, outcome: outcomeOf(result) });
}

function seedsFromEnvironment(): number[] | null {
  const range = process.env.MEETING_SEEDS?.split('-').map(Number);
  if (!range) return null;
  const [first, last = first] = range;
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

/** Cancellations that were first confirmed in a span of time. */
export function confirmedCancellations(
  { timeline, requests }: ScenarioResult,
  fromS: number,
  untilS: number,
): ConfirmedCancellation[] {
  const first = new Map<string, ConfirmedCancellation>();
  const answers = requests.find({ path: CANCEL_PATH, status: 200 });
  for (const { atS, request, phase } of timeline.of('answered')) {
    const { job } = request;
    if (phase !== 'aborted' || first.has(job)) continue;
    const path = `/submissions/${job}/abort`;
    const answer = answers.filter((sent) => sent.path === path && sent.atS <= atS).at(-1);
    first.set(job, { job, atS, controller: answer?.controller ?? 'unknown' });
  }
  return [...first.values()].filter(({ atS }) => atS >= fromS && atS <= untilS);
}

/** Counts the heartbeats that a controller answered with 200 in a span of time. */
export function heartbeatsAnswered(
  { requests }: ScenarioResult,
  controller: string,
  fromS: number,
  untilS: number,
): number {
  return requests.find({ controller, path: HEARTBEAT_PATH, status: 200, fromS, untilS }).length;
}

/** Machines that were up at the beginning of a span of time and not gone at its end. */
export function machinesUp({ timeline }: ScenarioResult, fromS: number, untilS: number) {
  const gone = new Set(timeline.of('machine-gone', 0, untilS).map(({ machine }) => machine));
  const up = timeline.of('machine-up', 0, fromS).map(({ machine }) => machine);
  return up.filter(({ name }) => !gone.has(name));
}

/** Asserts that a controller answered a heartbeat of each machine within every lease length of a span of time. */
export function assertAnswersAllMachines(
  result: ScenarioResult,
  controller: string,
  fromS: number,
  untilS: number,
): void {
  const machines = machinesUp(result, fromS, untilS);
  assert.ok(machines.length >= 3, `${machines.length} machines`);
  for (let atS = fromS; atS + LEASE_S <= untilS; atS += LEASE_S) {
    const span = { fromS: atS, untilS: atS + LEASE_S };
    const answers = result.requests.find({
      controller,
      path: HEARTBEAT_PATH,
      status: 200,
      ...span,
    });
    const answered = new Set(answers.map(({ clientHost }) => clientHost));
    const unanswered = machines.filter(({ address }) => !answered.has(hostOf(address)));
    assert.deepEqual(unanswered, [], `${controller} from ${atS} s on`);
  }
}

function hostOf(address: string): string {
  return parseHostPort(address).host;
}

/** Time at which the last task of a job left its machine; -Infinity if no task did. */
export function lastTaskLeftAt({ timeline }: ScenarioResult, job: string): number {
  const ends = timeline.of('task-left').filter(({ task }) => task.job === job);
  return Math.max(...ends.map(({ atS }) => atS));
}

/** Tasks that were killed in a span of time because their lease ended or their machine went away. */
export function killedTasks({ timeline }: ScenarioResult, fromS: number, untilS: number): string[] {
  return timeline
    .of('task-left', fromS, untilS)
    .filter(({ cause }) => cause === 'killed')
    .map(({ atS, machine, task }) => `${atS.toFixed(1)} s ${task.job}/${task.index} on ${machine}`);
}

/** Counts the tasks that were running at a time. */
export function tasksRunningAt({ timeline }: ScenarioResult, atS: number): number {
  const started = timeline.of('task-started', 0, atS).length;
  const startedTasks = new Set(
    timeline.of('task-started', 0, atS).map(({ machine, task }) => attemptKey(machine, task)),
  );
  const left = timeline
    .of('task-left', 0, atS)
    .filter(({ machine, task }) => startedTasks.has(attemptKey(machine, task)));
  return started - left.length;
}

function attemptKey(
  machine: string,
  task: { job: string; index: number; attempt: number },
): string {
  return `${machine} ${task.job}/${task.index} ${task.attempt}`;
}
