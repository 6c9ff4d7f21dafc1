/** Many shard migrations between real controller processes, with crashes and stops of source and target. */
import { setTimeout as sleep } from 'node:timers/promises';
import { MigrationRequests, type RequestOutcome } from '#shards';
import { nodeRuntime, StateApi } from '#wire';
import { formatAddress } from '../../simulation/addresses.js';
import { SeededRandom } from '../../random.js';
import { LoopbackCluster } from '../sizing/cluster.js';
import type { ControllerProcess } from '../sizing/controller-process.js';
import { waitUntilAllHealthy, fillFleet } from '../sizing/full-fleet.js';
import type { SizingOptions } from '../sizing/options.js';
import { runCommand } from '../sizing/sources.js';
import { RuleChecker, type Violation } from '../../stand-ins/index.js';
import { LeaderAudit, type LeaderBreach } from './leader-audit.js';

const SHARD = 0;
/** Log messages of a new leader that begins to decide: the current one, and the one of older sources under test. */
const LEADER_READY_MESSAGES = ['leader ready', 'owner'];
const SEED = 1;
const MIGRATION_TIMEOUT_S = 20;
const STATE_TIMEOUT_MS = 2000;
/** The longest time from the request of a migration to the fault during it. */
const MAX_FAULT_DELAY_MS = 120;
const STOPPED_S = 3;
const DOWN_S = 1;

export interface MigrationRunOptions {
  sizing: SizingOptions;
  moves: number;
  /** Time from the end of one migration to the next request. */
  everyS: number;
  /** In every n-th migration the source or the target crashes or stops; 0 for never. */
  faultEvery: number;
}

/** The result of a run; times are in milliseconds. */
export interface MigrationRunResult {
  moved: number;
  /** Number of requests that did not lead to a migration, by reason. */
  notMoved: Record<string, number>;
  faults: number;
  /** Times from a request to the write of the new leader's key. */
  moveMs: number[];
  /** Times from the old leader's last decision to the new leader's first, in migrations without a fault. */
  undecidedMs: number[];
  breaches: LeaderBreach[];
  violations: Violation[];
  obeyedAnswers: number;
  tasksKilled: number;
  tasksCompleted: number;
  leasesEnded: number;
}

/** Runs a cluster and migrates its shard repeatedly; calls `progress` after each migration. */
export async function runMigrations(
  options: MigrationRunOptions,
  progress: (done: number) => void,
): Promise<MigrationRunResult> {
  const run = new MigrationRun(options);
  try {
    await run.start();
    for (let done = 1; done <= options.moves; done++) {
      await run.migrate(done);
      progress(done);
    }
    return run.finish();
  } finally {
    await run.close();
  }
}

class MigrationRun {
  private readonly chance = new SeededRandom(SEED);
  private readonly audit = new LeaderAudit();
  private readonly checker: RuleChecker;
  private readonly cluster: LoopbackCluster;
  private readonly api: StateApi;
  private readonly requests: MigrationRequests;
  private readonly counts: Pick<
    MigrationRunResult,
    'moved' | 'notMoved' | 'faults' | 'tasksCompleted'
  >;
  private readonly moveMs: number[] = [];
  private readonly undecidedMs: number[] = [];

  constructor(private readonly options: MigrationRunOptions) {
    const { sources, nodeOptions, machines, cluster: shared } = options.sizing;
    this.counts = { moved: 0, notMoved: {}, faults: 0, tasksCompleted: 0 };
    const cancelS = shared.deployment.workers.cancel_s;
    this.checker = new RuleChecker(nodeRuntime.clock, { teams: [], cancelS });
    const command = {
      directory: sources,
      command: runCommand(sources, nodeOptions),
      logLevel: 'info',
    };
    this.cluster = new LoopbackCluster({
      shared,
      machines,
      command,
      operator: { moves: {} },
      observe: (event) => {
        this.checker.observe(event);
        if (event.kind === 'task-completed') this.counts.tasksCompleted++;
        if (event.kind === 'transaction') this.recordLeader();
      },
    });
    this.cluster.heartbeats.onObeyed = (...answer) => this.audit.addObeyedAnswer(...answer);
    const address = formatAddress(this.cluster.addresses.state(0));
    this.api = new StateApi(nodeRuntime, address, STATE_TIMEOUT_MS);
    this.requests = new MigrationRequests(this.api, nodeRuntime.clock, SHARD);
  }

  async start(): Promise<void> {
    await fillFleet(this.cluster, this.options.sizing);
    this.recordLeader();
  }

  private recordLeader(): void {
    const leadership = this.cluster.leadership();
    if (leadership !== null) this.audit.addRecordedLeader(leadership.leader, leadership.term);
  }

  /** Migrates the shard to a random standby, with a fault if `faultEvery` says so. */
  async migrate(number: number): Promise<void> {
    const { cluster, options, chance } = this;
    const source = cluster.leader();
    const others = cluster.standbys();
    if (source === null || others.length === 0) return sleep(options.everyS * 1000);
    const target = others[chance.int(0, others.length - 1)];
    const isFaulty = options.faultEvery > 0 && number % options.faultEvery === 0;
    const fromMs = performance.now();
    const fault = isFaulty
      ? this.injectFault([source, target][chance.int(0, 1)])
      : Promise.resolve();
    const outcome = await this.requests.move(target.name, `move ${number}`, MIGRATION_TIMEOUT_S);
    this.recordOutcome(outcome, performance.now() - fromMs);
    await fault;
    if (isFaulty) await waitUntilAllHealthy(cluster);
    await sleep(options.everyS * 1000);
    const isClean = !isFaulty && outcome.kind === 'moved';
    if (isClean) this.recordDecisionGap(source, target, fromMs);
  }

  private recordOutcome(outcome: RequestOutcome, tookMs: number): void {
    const { counts } = this;
    if (outcome.kind === 'moved') {
      counts.moved++;
      this.moveMs.push(tookMs);
      return;
    }
    const why = outcome.kind === 'ignored' ? 'not taken up' : outcome.reason;
    counts.notMoved[why] = (counts.notMoved[why] ?? 0) + 1;
  }

  /** Records the time from the old leader's pause to the new leader's first round, taken from their logs. */
  private recordDecisionGap(
    source: ControllerProcess,
    target: ControllerProcess,
    fromMs: number,
  ): void {
    const paused = source.run.log.since('shard migration started: decisions stop', fromMs)[0];
    const [decides] = LEADER_READY_MESSAGES.flatMap((message) =>
      target.run.log.since(message, fromMs),
    );
    if (paused && decides) this.undecidedMs.push(decides.receivedAtMs - paused.receivedAtMs);
  }

  /** After a random delay, kills and restarts a controller, or stops its process for a while. */
  private async injectFault(victim: ControllerProcess): Promise<void> {
    const { chance, counts } = this;
    const isCrash = chance.withProbability(0.5);
    counts.faults++;
    await sleep(chance.next() * MAX_FAULT_DELAY_MS);
    if (isCrash) await victim.end('SIGKILL');
    else victim.setStopped(true);
    await sleep((isCrash ? DOWN_S : STOPPED_S) * 1000);
    if (isCrash) victim.start();
    else victim.setStopped(false);
  }

  finish(): MigrationRunResult {
    const { cluster, audit, checker, moveMs, undecidedMs } = this;
    return {
      ...this.counts,
      moveMs,
      undecidedMs,
      breaches: audit.breaches,
      violations: checker.finish(),
      obeyedAnswers: audit.obeyedAnswers,
      tasksKilled: cluster.tasksKilled,
      leasesEnded: cluster.heartbeats.leasesEnded,
    };
  }

  async close(): Promise<void> {
    this.api.close();
    await this.cluster.close();
  }
}
