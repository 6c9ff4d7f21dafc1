/** Runs short jobs on stand-in workers that get each direct command twice, with real controllers. */
import { setTimeout as sleep } from 'node:timers/promises';
import { type Job, nodeRuntime } from '#wire';
import type { TimedEvent } from '../../simulation/timeline.js';
import { type PlannedJob, RuleChecker, type Violation } from '../../stand-ins/index.js';
import { makeJob } from '../../samples.js';
import { LoopbackCluster } from '../sizing/cluster.js';
import { waitUntilAllHealthy } from '../sizing/full-fleet.js';
import type { SizingOptions } from '../sizing/options.js';
import { runCommand } from '../sizing/sources.js';

const FIRST_JOB_ID = 700_000;
const TASKS_PER_JOB = 4;
const TASK_DURATION_S = 1;
const JOBS_PER_SECOND = 2;
/** Of three jobs in a row, one fails on every machine, one completes and one is cancelled. */
const JOB_KINDS = 3;
const CANCELLED_AFTER_S = 3;
const COPY_DELAY_S: [least: number, most: number] = [0.5, 8];
const LEADER_CRASH_INTERVAL_S = 8;
/** How long a controller that crashed is down. */
const DOWN_S = 0.3;
/** Time after the last submission in which late copies arrive. */
const DRAIN_S = 10;

/** Length and faults of a run. */
export interface RepeatedCommandsOptions {
  sizing: SizingOptions;
  /** How long jobs are submitted. */
  seconds: number;
  /** Whether the leader crashes repeatedly and is back within a second. */
  leaderCrashes: boolean;
}

/** What a run showed. */
export interface RepeatedCommandsResult {
  violations: Violation[];
  events: TimedEvent[];
}

/** Runs jobs whose tasks fail, complete or are cancelled within seconds, and gives each command to its worker twice. */
export async function runRepeatedCommands(
  options: RepeatedCommandsOptions,
): Promise<RepeatedCommandsResult> {
  const { sizing, seconds, leaderCrashes } = options;
  const events: TimedEvent[] = [];
  const checker = new RuleChecker(nodeRuntime.clock, {
    teams: [],
    cancelS: sizing.cluster.deployment.workers.cancel_s,
  });
  const cluster = new LoopbackCluster({
    shared: sizing.cluster,
    machines: sizing.machines,
    command: {
      directory: sizing.sources,
      command: runCommand(sizing.sources, sizing.nodeOptions),
      logLevel: 'info',
    },
    observe: (event) => {
      checker.observe(event);
      events.push({ ...event, atS: nodeRuntime.clock.now() });
    },
  });
  try {
    await cluster.listen();
    for (const controller of cluster.controllers) controller.start();
    await waitUntilAllHealthy(cluster);
    cluster.repeatedCommands.begin({ share: 1, delayS: COPY_DELAY_S });
    const teams = sizing.cluster.deployment.teams.map(({ name }) => name);
    cluster.users.start(planJobs(seconds * JOBS_PER_SECOND, teams));
    if (leaderCrashes) await crashLeaders(cluster, seconds);
    else await sleep(seconds * 1000);
    await sleep(DRAIN_S * 1000);
    return { violations: checker.finish(), events };
  } finally {
    await cluster.close();
  }
}

/** Kills the leader again and again, and starts it again within a second. */
async function crashLeaders(cluster: LoopbackCluster, seconds: number): Promise<void> {
  for (let atS = 0; atS < seconds; atS += LEADER_CRASH_INTERVAL_S) {
    await sleep(LEADER_CRASH_INTERVAL_S * 1000);
    const leader = cluster.leader();
    if (leader === null) continue;
    await leader.end('SIGKILL');
    await sleep(DOWN_S * 1000);
    leader.start();
  }
}

function planJobs(count: number, teams: string[]): PlannedJob[] {
  const fields: Partial<Job> = {
    class: 'short',
    tasks: TASKS_PER_JOB,
    cpus: 8,
    gpus: 0,
    memory: 16,
    imageGb: 0.1,
    types: null,
  };
  return Array.from({ length: count }, (_, number) => {
    const team = teams[number % teams.length];
    const job = makeJob({ ...fields, id: `j-${FIRST_JOB_ID + number}`, team });
    const kind = number % JOB_KINDS;
    const runS = Array<number>(TASKS_PER_JOB).fill(TASK_DURATION_S);
    return {
      program: { job, runS, failsAfterS: kind === 0 ? TASK_DURATION_S / 2 : null },
      submitAtS: number / JOBS_PER_SECOND,
      cancelAfterS: kind === 1 ? null : CANCELLED_AFTER_S,
      repeatAfterS: null,
    };
  });
}
