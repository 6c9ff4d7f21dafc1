/** Runs a scenario and collects the results. */
import { describeViolation, makeWorkload, type Violation } from '../stand-ins/index.js';
import { Cluster } from './cluster.js';
import type { ControllerMaker, SimulatedController } from './controllers.js';
import { countRun, type RunCounts } from './counts.js';
import { FaultInjector } from './fault-injector.js';
import type { FaultJournal } from './fault-journal.js';
import type { MigrationPhases } from './migration-phases.js';
import type { LeadershipChange } from './leadership-history.js';
import type { ReplicaPhases } from './replica-phases.js';
import type { ReplicaService } from './replica-service.js';
import type { RequestLog } from './request-log.js';
import type { Scenario } from './scenario.js';
import type { Timeline } from './timeline.js';
import type { UncaughtError, World } from './world.js';

/** Results of a run. */
export interface ScenarioResult {
  scenario: Scenario;
  seed: number;
  /** Broken rules of the protocol, in the order in which they were found. */
  violations: Violation[];
  /** Uncaught errors in controllers or stand-ins. */
  uncaught: UncaughtError[];
  counts: RunCounts;
  faults: FaultJournal;
  /** Leaders of the shard, with the beginning of each term. */
  leaders: LeadershipChange[];
  /** Phases that migrations of the shard reached. */
  moves: MigrationPhases;
  /** Phases that replica groups reached. */
  replicaPhases: ReplicaPhases;
  /** Simulated requests to replica groups, and their answers. */
  replicas: ReplicaService;
  /** All events that the stand-ins reported. */
  timeline: Timeline;
  /** Requests of workers and users that the controllers have answered. */
  requests: RequestLog;
  /** The controllers with their logs. */
  controllers: SimulatedController[];
  /** Hash of all events; equal for two runs with the same events. */
  digest: string;
  eventCount: number;
}

/** Runs the scenario, with controllers of this build unless `make` is given. The same seed gives the same run. */
export async function runScenario(
  scenario: Scenario,
  seed: number,
  make?: ControllerMaker,
): Promise<ScenarioResult> {
  const cluster = new Cluster(scenario.cluster, seed, make);
  const { world, checker, timeline, controllers, leadership } = cluster;
  const injector = new FaultInjector(cluster);
  const stopCollecting = collectRejections(world);
  try {
    await cluster.start();
    injector.schedule(scenario.faults, () => {
      checker.faultsEnded();
    });
    cluster.users.start(planJobs(cluster, scenario));
    await world.runUntil(scenario.lengthS);
  } finally {
    stopCollecting();
  }
  return {
    scenario,
    seed,
    violations: checker.finish(),
    uncaught: world.uncaught,
    counts: countRun(timeline),
    faults: injector.journal,
    leaders: leadership.changes,
    moves: cluster.moves,
    replicaPhases: cluster.replicaPhases,
    replicas: cluster.replicas,
    timeline,
    requests: cluster.requests,
    controllers,
    digest: world.digest,
    eventCount: world.eventCount,
  };
}

/** Describes broken rules and uncaught errors, one string each; empty if there were none. */
export function describeProblems({ violations, uncaught }: ScenarioResult): string[] {
  const errors = uncaught.map(({ atS, where, error }) => {
    const text = error instanceof Error ? String(error.stack) : String(error);
    return `${atS.toFixed(3)} s uncaught in ${where}: ${text}`;
  });
  return [...violations.map(describeViolation), ...errors];
}

function planJobs({ world, settings }: Cluster, { workload }: Scenario) {
  const chance = world.randomStream('workload');
  return makeWorkload(() => chance.next(), {
    classes: workload.classes,
    pipelines: workload.pipelines,
    intensity: workload.intensity,
    teams: settings.deployment.teams.map((team) => team.name),
    lengthS: workload.untilS,
  });
}

/** Records unhandled promise rejections as uncaught errors of the run until the returned function is called. */
function collectRejections(world: World): () => void {
  const record = (error: unknown) => {
    world.uncaught.push({ atS: world.now, where: 'a promise', error });
  };
  process.on('unhandledRejection', record);
  return () => process.off('unhandledRejection', record);
}
