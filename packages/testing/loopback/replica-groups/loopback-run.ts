/**
 * Runs replicas of several members on stand-in machines with real controllers, and injects faults of machines and
 * controllers while the replicas serve requests.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { type Job, nodeRuntime } from '#wire';
import { SeededRandom } from '../../random.js';
import { type Answer, brokenAnswers } from '../../simulation/replica-traffic/answers.js';
import { RunningMembers } from '../../simulation/replica-traffic/running-members.js';
import { RequestTraffic } from '../../simulation/replica-traffic/request-traffic.js';
import { makeJob } from '../../samples.js';
import { LoopbackCluster } from '../sizing/cluster.js';
import { waitUntilAllHealthy } from '../sizing/full-fleet.js';
import type { SizingOptions } from '../sizing/options.js';
import { runCommand } from '../sizing/sources.js';
import { waitFor } from '../sizing/wait.js';
import { type PlannedJob, RuleChecker, type Violation } from '../../stand-ins/index.js';
import { LoopbackFaults } from './loopback-faults.js';
import { repairTimes, type RepairTime } from './repair-times.js';

const CLASS = 'label-model';
const MEMBERS = 3;
const SEED = 1;
const FIRST_JOB_ID = 800_000;
const REQUEST_INTERVAL_S = 0.1;
const START_TIMEOUT_S = 90;
const REPAIR_TIMEOUT_S = 120;
/** Time from the end of a repair to the next fault. */
const PAUSE_S = 0.5;

/** Whether controllers manage the members of a replica as a group, and whether members check generations. */
export type ReplicaMode =
  /** `replicaGroups` is set, and a member answers only once all members of its generation have taken part. */
  | 'groups'
  /** `replicaGroups` is set, and a member answers with whichever members it finds, of any generation. */
  | 'unfenced'
  /** `replicaGroups` is not set, so each task restarts alone; a member answers with whichever members it finds. */
  | 'single-tasks';

export interface ReplicaRunOptions {
  sizing: SizingOptions;
  mode: ReplicaMode;
  replicas: number;
  faults: number;
  /** Every n-th machine fault comes with a crash or stop of a controller; 0 for never. */
  controllerEvery: number;
}

export interface ReplicaRunResult {
  answers: number;
  broken: Answer[];
  violations: Violation[];
  /** How often members of two generations of a replica ran at the same time. */
  generationsAtOnce: number;
  faults: Record<string, number>;
  repairs: RepairTime[];
  /** Share of the run, averaged over the replicas, in which a replica was not under repair. */
  wholeShare: number;
  lengthS: number;
}

/** Runs replicas and faults as the options say; calls `progress` after each fault. */
export async function runReplicaGroups(
  options: ReplicaRunOptions,
  progress: (done: number) => void = () => {},
): Promise<ReplicaRunResult> {
  const run = new ReplicaRun(options);
  try {
    await run.start();
    for (let done = 1; done <= options.faults; done++) {
      await run.injectFault(done);
      progress(done);
    }
    return run.finish();
  } finally {
    await run.close();
  }
}

class ReplicaRun {
  private readonly chance = new SeededRandom(SEED);
  private readonly checker: RuleChecker;
  private readonly members = new RunningMembers((job) => (job >= jobId(0) ? MEMBERS : 1));
  private readonly cluster: LoopbackCluster;
  private readonly traffic: RequestTraffic;
  private readonly faults: LoopbackFaults;
  private readonly losses: { atS: number; job: string; withController: boolean }[] = [];
  private fromS = 0;

  constructor(private readonly options: ReplicaRunOptions) {
    const { sizing, mode } = options;
    const { sources, nodeOptions, machines } = sizing;
    const objectives = [{ kind: 'wait', class: CLASS, within_s: 20, share: 0.9 }];
    const shared = { ...sizing.cluster, deployment: { ...sizing.cluster.deployment, objectives } };
    const cancelS = shared.deployment.workers.cancel_s;
    this.checker = new RuleChecker(nodeRuntime.clock, { teams: [], cancelS });
    const isGrouped = mode !== 'single-tasks';
    this.cluster = new LoopbackCluster({
      shared,
      machines,
      command: { directory: sources, command: runCommand(sources, nodeOptions), logLevel: 'info' },
      operator: isGrouped ? { replicaGroups: { [CLASS]: { members: MEMBERS } } } : {},
      observe: (event) => {
        this.checker.observe(event);
        this.members.observe(event);
      },
    });
    const { chance, cluster } = this;
    this.faults = new LoopbackFaults(cluster, chance, shared.deployment.workers.lease_s);
    this.traffic = new RequestTraffic({
      members: this.members,
      chance,
      now: () => nodeRuntime.clock.now(),
      schedule: (delayS, run) => void setTimeout(run, delayS * 1000).unref(),
      reaches: (from, to) => this.faults.canReach(from, to),
      intervalS: REQUEST_INTERVAL_S,
      isFenced: mode === 'groups',
    });
  }

  async start(): Promise<void> {
    const { cluster, options } = this;
    await cluster.listen();
    for (const controller of cluster.controllers) controller.start();
    await waitUntilAllHealthy(cluster);
    const teams = cluster.options.shared.deployment.teams.map(({ name }) => name);
    cluster.users.start(planReplicas(options.replicas, teams));
    this.traffic.start();
    const jobs = Array.from({ length: options.replicas }, (_, index) => jobId(index));
    await waitFor('all replicas to answer', START_TIMEOUT_S, () =>
      this.allReplicasAnswerSince(jobs, 0),
    );
    this.fromS = nodeRuntime.clock.now();
  }

  /** Fails a random machine that runs members, sometimes with a controller; resolves once all is repaired. */
  async injectFault(number: number): Promise<void> {
    const { chance, faults, cluster, options } = this;
    const replicas = [...this.members.replicas()];
    const victim = replicas[chance.int(0, replicas.length - 1)];
    const member = this.members.of(victim.job, victim.first + chance.int(0, MEMBERS - 1)).at(0);
    if (!member) return sleep(PAUSE_S * 1000);
    const withController = options.controllerEvery > 0 && number % options.controllerEvery === 0;
    const atS = nodeRuntime.clock.now();
    const affected = replicas.filter(({ job, first }) =>
      [0, 1, 2].some((index) =>
        this.members.of(job, first + index).some(({ machine }) => machine === member.machine),
      ),
    );
    for (const { job } of affected) this.losses.push({ atS, job, withController });
    const pendingFaults = [faults.failMachine(member.machine)];
    if (withController) pendingFaults.push(faults.failController());
    await Promise.all(pendingFaults);
    await waitUntilAllHealthy(cluster);
    const jobs = replicas.map(({ job }) => job);
    const sinceS = nodeRuntime.clock.now();
    await waitFor('repairs', REPAIR_TIMEOUT_S, () => this.allReplicasAnswerSince(jobs, sinceS));
    await sleep(PAUSE_S * 1000);
  }

  private allReplicasAnswerSince(jobs: string[], sinceS: number): true | null {
    const { answers } = this.traffic;
    const answering = new Set<string>();
    for (let at = answers.length - 1; at >= 0 && answers[at].atS > sinceS; at--) {
      if (answers[at].marks.length === MEMBERS) answering.add(answers[at].job);
    }
    return jobs.every((job) => answering.has(job)) ? true : null;
  }

  finish(): ReplicaRunResult {
    const { answers } = this.traffic;
    const lengthS = nodeRuntime.clock.now() - this.fromS;
    const repairs = repairTimes(answers, this.losses);
    const brokenS = repairs.reduce((sum, { wholeAfterS }) => sum + wholeAfterS, 0);
    return {
      answers: answers.length,
      broken: brokenAnswers(answers),
      violations: this.checker.finish(),
      generationsAtOnce: this.members.generationOverlaps,
      faults: this.faults.counts,
      repairs,
      wholeShare: 1 - brokenS / (lengthS * this.options.replicas),
      lengthS,
    };
  }

  async close(): Promise<void> {
    this.traffic.stop();
    await this.cluster.close();
  }
}

function jobId(index: number): string {
  return `j-${FIRST_JOB_ID + index}`;
}

function planReplicas(count: number, teams: string[]): PlannedJob[] {
  const fields: Partial<Job> = {
    class: CLASS,
    kind: 'service',
    rank: 1,
    tasks: MEMBERS,
    cpus: 24,
    gpus: 3,
    memory: 90,
    imageGb: 5,
    types: null,
  };
  return Array.from({ length: count }, (_, index) => {
    const team = teams[index % teams.length];
    const job = makeJob({ ...fields, id: jobId(index), team, image: `model-${index % 4}` });
    return {
      program: { job, runS: Array<number>(MEMBERS).fill(0), failsAfterS: null },
      submitAtS: 0,
      cancelAfterS: null,
      repeatAfterS: null,
    };
  });
}
