/** Builds the components of a leader and wires them together. */
import type { CapacityPlanner, FleetState, Scheduler } from '#core';
import type { ReplicaGroups } from '#replicas';
import type { GroupCommit, JobRecord, StateClient, Term } from '#store';
import type { MachineType, Runtime } from '#wire';
import { JobIntake } from '../jobs/job-intake.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import { OrderHistory } from '../observability/order-history.js';
import { CancellationRecorder } from '../records/cancellation-recorder.js';
import { FlushLoop } from '../records/flush-loop.js';
import { type ReadRecords, RecordLoader } from '../records/record-loader.js';
import { Recorder } from '../records/recorder.js';
import type { OptionalReplicaSupport } from '../replica-support.js';
import type { Settings } from '../settings/settings.js';
import { makeFleetState, makePlanner, makeScheduler } from './core-from-settings.js';
import { DirectCommands } from './direct-commands.js';
import { fleetListener } from './fleet-listener.js';
import { SchedulingRound } from './scheduling-round.js';
import { roundIntervalMs } from './round-pacing.js';

/** Timeout of a direct command, in heartbeat intervals. */
const COMMAND_TIMEOUT_INTERVALS = 2;

/** Dependencies and settings of the leader of one term. */
export interface ShardLeaderOptions {
  runtime: Runtime;
  settings: Settings;
  client: StateClient;
  readRecords: ReadRecords;
  /** Commits changes that users make to jobs. */
  commits: GroupCommit;
  jobs: JobTable;
  term: Term;
  /** Returns the machine types that are known now. */
  types: () => MachineType[];
  replicas: OptionalReplicaSupport;
  /** Whether the leader may answer and command workers now. */
  holdsLeaderLease: () => boolean;
  /** Called after each scheduling round with its duration in milliseconds. */
  onRound: (ms: number) => void;
  /** Maximum number of open connections for direct commands. */
  directSockets: number;
  log: Log;
}

/** Callbacks through which the components reach their leader. */
export interface LeaderCallbacks {
  /** Requests a scheduling round soon, after a change that the round should process. */
  requestRound: () => void;
  /** Sends pending commands to workers. */
  pushCommands: (signal: AbortSignal) => void;
  /** Handles the outcome of a direct command, after it was applied to the fleet state. */
  commandDone: (signal: AbortSignal) => void;
}

/** The components of a leader. All share one fleet state. */
export interface LeaderComponents {
  readonly fleet: FleetState;
  readonly planner: CapacityPlanner;
  readonly scheduler: Scheduler;
  /** Null if replica groups are switched off: each task of a service is then a replica by itself. */
  readonly replicaGroups: ReplicaGroups | null;
  readonly orderHistory: OrderHistory;
  readonly recorder: Recorder;
  readonly intake: JobIntake;
  readonly cancellationRecorder: CancellationRecorder;
  readonly directCommands: DirectCommands;
  readonly flushLoop: FlushLoop;
  readonly schedulingRound: SchedulingRound;
}

type CoreComponents = Pick<
  LeaderComponents,
  'fleet' | 'planner' | 'scheduler' | 'replicaGroups' | 'orderHistory'
>;

/** Builds the components of a leader. None of them runs until the leader starts it. */
export function composeLeader(
  options: ShardLeaderOptions,
  callbacks: LeaderCallbacks,
): LeaderComponents {
  const { runtime, client, jobs, term, settings, log } = options;
  const { clock } = runtime;
  const heartbeatIntervalS = settings.deployment.workers.report_s;
  const core = composeCore(options);
  const { fleet } = core;
  const recorder = new Recorder({ runtime, client, fleet, jobs, term, heartbeatIntervalS, log });
  const intake = composeIntake(options, core);
  const cancellationRecorder = new CancellationRecorder({
    clock,
    client,
    commits: options.commits,
    jobs,
    unrecordedCancellations: intake.unrecordedCancellations,
    heartbeatIntervalS,
    log,
  });
  const flushLoop = new FlushLoop({
    clock,
    recorder,
    idleMs: roundIntervalMs(settings),
    onFlushed: callbacks.pushCommands,
  });
  return {
    ...core,
    recorder,
    intake,
    cancellationRecorder,
    directCommands: composeDirectCommands(options, core, callbacks),
    flushLoop,
    schedulingRound: new SchedulingRound({ ...core, log }),
  };
}

/** Makes the loader that reads the records of earlier leaders into the components' fleet state. */
export function composeRecordLoader(
  options: ShardLeaderOptions,
  { fleet, recorder, intake, planner }: LeaderComponents,
): RecordLoader {
  const { runtime, client, readRecords, jobs, term } = options;
  return new RecordLoader({
    client,
    readRecords,
    jobs,
    fleet,
    recorder,
    term,
    acceptJob: (record) => {
      intake.accept(record);
    },
    onJobsAccepted: (now) => {
      planner.assumeSteadyState(now);
    },
    now: () => runtime.clock.now(),
  });
}

function composeCore(options: ShardLeaderOptions): CoreComponents {
  const { runtime, settings, client, term, replicas, log } = options;
  const replicaGroups = replicas.support?.makeGroups() ?? null;
  const orderHistory = new OrderHistory(log);
  const fleet = makeFleetState({
    settings,
    term,
    valueBytes: client.limits.valueBytes,
    listener: fleetListener(() => planner, orderHistory, log),
    random: () => runtime.random(),
    replicaGroups,
  });
  const planner: CapacityPlanner = makePlanner(settings, fleet);
  const scheduler = makeScheduler(settings, fleet);
  return { fleet, planner, scheduler, replicaGroups, orderHistory };
}

function composeIntake(options: ShardLeaderOptions, { fleet, planner }: CoreComponents): JobIntake {
  const { runtime, jobs, replicas, log } = options;
  return new JobIntake({
    clock: runtime.clock,
    fleet,
    planner,
    jobs,
    log,
    onNewJob: (record) => {
      observeNewJob(record, replicas, log);
    },
  });
}

function observeNewJob(record: JobRecord, { support }: OptionalReplicaSupport, log: Log): void {
  if (support !== null) support.logJobWithoutGroups(record);
  else if (record.replicas) {
    log.info({ job: record.job.id }, 'job needs replica groups, which are switched off');
  }
}

function composeDirectCommands(
  { runtime, settings, directSockets }: ShardLeaderOptions,
  { fleet, orderHistory }: CoreComponents,
  { commandDone }: LeaderCallbacks,
): DirectCommands {
  return new DirectCommands({
    runtime,
    fleet,
    timeoutMs: COMMAND_TIMEOUT_INTERVALS * settings.deployment.workers.report_s * 1000,
    maxConnections: directSockets,
    onOrders: (machine, orders) => {
      orderHistory.add(machine, 'direct', orders, runtime.clock.now());
    },
    onDone: commandDone,
  });
}
