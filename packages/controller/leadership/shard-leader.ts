import { Clock, MachineType, Order, Heartbeat, Runtime } from '#wire';
import { FleetState, CapacityPlanner, Scheduler } from '#core';
import type { ReplicaGroups } from '#replicas';
import { GroupCommit, JobRecord, StateClient, Term } from '#store';
import { CancellationRecorder } from '../records/cancellation-recorder.js';
import { makeFleetState, makePlanner, makeScheduler } from './core-from-settings.js';
import { DirectCommands } from './direct-commands.js';
import { FleetSummary, summariseFleet } from '../observability/fleet-summary.js';
import { fleetListener } from './fleet-events.js';
import { FlushLoop } from '../records/flush-loop.js';
import { JobIntake } from '../jobs/job-intake.js';
import { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import { RecordLoader, type ReadRecords } from '../records/record-loader.js';
import { evictOnReclaimNotices } from './reclaim-notices.js';
import type { Pacer } from './pacer.js';
import { Recorder } from '../records/recorder.js';
import type { OptionalReplicaSupport } from '../replica-support.js';
import { makeRounds } from './scheduling-rounds.js';
import type { Settings } from '../settings/settings.js';

/** Report periods that a direct command may take. */
const DIRECT_TIMEOUT = 2;
/** Rounds in a report period if nothing asks for more. */
const ROUND_TICKS = 4;

export interface ShardLeaderOptions {
  runtime: Runtime;
  settings: Settings;
  client: StateClient;
  readRecords: ReadRecords;
  /** Users' changes of jobs. */
  commits: GroupCommit;
  jobs: JobTable;
  term: Term;
  types: () => MachineType[];
  replicas: OptionalReplicaSupport;
  holdsLeaderLease: () => boolean;
  /** Told how long each scheduling round took. */
  onRound: (ms: number) => void;
  /** Connections that may be open for direct commands. */
  directSockets: number;
  log: Log;
}

/** One term of owning a part: its fleet state, the recorder behind it and the duties that drive it. */
export class ShardLeader {
  readonly fleet: FleetState;
  readonly planner: CapacityPlanner;
  readonly scheduler: Scheduler;
  readonly recorder: Recorder;
  /** Null: each task of a service is a replica by itself. */
  readonly replicaGroups: ReplicaGroups | null;
  readonly term: Term;
  /** Steady seconds. */
  readonly startedAt: number;
  private readonly clock: Clock;
  private readonly settings: Settings;
  private readonly log: Log;
  private readonly direct: DirectCommands;
  private readonly intake: JobIntake;
  private readonly cancellationRecorder: CancellationRecorder;
  private rounds: Pacer | null = null;
  private readonly flushing: FlushLoop;
  /** From one round to the next if nothing asks for more. */
  private readonly tickMs: number;
  /** The records are read and orders may have been given. */
  ready = false;
  /** No earlier owner has recorded any machine. */
  first = false;
  private summaryAt = -Infinity;

  constructor(private readonly options: ShardLeaderOptions) {
    const { runtime, settings, client, term, log } = options;
    this.clock = runtime.clock;
    this.startedAt = this.clock.now();
    ({ settings: this.settings, term: this.term, log: this.log } = options);
    const listener = fleetListener(() => this.planner, log);
    const random = () => runtime.random();
    this.replicaGroups = options.replicas.support?.makeGroups() ?? null;
    const { replicaGroups } = this;
    const { valueBytes } = client.limits;
    this.fleet = makeFleetState({ settings, term, valueBytes, listener, random, replicaGroups });
    this.planner = makePlanner(settings, this.fleet);
    this.scheduler = makeScheduler(settings, this.fleet);
    const heartbeatIntervalS = settings.deployment.workers.report_s;
    this.tickMs = (heartbeatIntervalS * 1000) / ROUND_TICKS;
    const { clock, fleet, planner } = this;
    this.recorder = new Recorder({ ...options, fleet, heartbeatIntervalS });
    const onNewJob = (record: JobRecord) => this.recordJob(record);
    this.intake = new JobIntake({ ...options, clock, fleet, planner, onNewJob });
    const cancellations = { clock, unrecorded: this.intake.unrecorded, heartbeatIntervalS };
    this.cancellationRecorder = new CancellationRecorder({ ...options, ...cancellations });
    this.direct = new DirectCommands({
      runtime,
      fleet: this.fleet,
      timeoutMs: DIRECT_TIMEOUT * heartbeatIntervalS * 1000,
      maxConnections: options.directSockets,
      onOrders: (machine, orders) => this.logOrders(machine.name, orders),
      onDone: () => this.requestRound(),
    });
    this.flushing = new FlushLoop({
      clock,
      recorder: this.recorder,
      idleMs: this.tickMs,
      onFlushed: (signal) => this.pushDirect(signal),
    });
  }

  /** Runs until the term ends; throws TermBroken if it must be given up. */
  async run(signal: AbortSignal): Promise<void> {
    await this.load(signal);
    this.ready = true;
    const { jobs: allJobs, machines } = this.fleet;
    const found = { jobs: allJobs.waiting.size, machines: machines.size };
    this.log.info({ term: this.term.term, ...found }, 'leader ready');
    const jobs = this.options.jobs.changed.subscribe((record) => {
      this.intake.accept(record);
      if (record.phase !== 'accepted') this.recorder.jobRecords.jobEnded(record.job);
      this.requestRound();
    });
    const dependencies = this.options.jobs.dependencyChanged.subscribe((change) => {
      this.intake.applyDependencyChange(change);
      this.requestRound();
    });
    const { clock, tickMs, log } = this;
    const { onRound } = this.options;
    const round = () => this.round(signal);
    const rounds = makeRounds({ clock, tickMs, round, onRound, log });
    this.rounds = rounds;
    rounds.start();
    try {
      await this.flushing.run(signal);
    } finally {
      jobs.unsubscribe();
      dependencies.unsubscribe();
      rounds.stop();
      this.direct.close();
    }
  }

  private pushDirect(signal: AbortSignal): void {
    if (this.options.holdsLeaderLease()) this.direct.push(signal);
  }

  /** Stops deciding; resolves once nothing that was decided is on its way to the state service. */
  pause(): Promise<void> {
    this.rounds?.stop();
    return this.flushing.pause();
  }

  /** Decides again after a pause. */
  resume(): void {
    this.flushing.resume();
    this.rounds?.start();
    this.requestRound();
  }

  /** Asks for a scheduling round soon. */
  requestRound(): void {
    this.rounds?.request();
  }

  /** A user gives the job up; its record may be still to come. */
  cancelJob(id: string): void {
    if (this.intake.cancel(id)) this.requestRound();
  }

  private async load(signal: AbortSignal): Promise<void> {
    const { client, readRecords, jobs, types } = this.options;
    const { fleet, recorder } = this;
    for (const type of types()) fleet.machines.setType(type);
    const records = new RecordLoader({
      client,
      readRecords,
      jobs,
      fleet,
      recorder,
      term: this.term,
      acceptJob: (record) => this.intake.accept(record),
      onJobs: (now) => this.planner.assumeSteady(now),
      now: () => this.clock.now(),
    });
    this.first = (await records.load(signal)) === 0;
    this.replicaGroups?.loaded(this.clock.now());
  }

  private recordJob(record: JobRecord): void {
    const { support } = this.options.replicas;
    if (support !== null) support.recordJob(record);
    else if (record.replicas) {
      this.log.info({ job: record.job.id }, 'job needs replica groups, which are switched off');
    }
  }

  /** Returns the number of decisions. */
  private round(signal: AbortSignal): number {
    const now = this.clock.now();
    for (const { name } of this.fleet.leases.expire(now)) {
      this.log.info({ machine: name }, 'worker lease expired');
    }
    this.fleet.machines.updateTotals();
    evictOnReclaimNotices(this.fleet, now);
    this.replicaGroups?.expireStarts(now);
    this.scheduler.reservations.update(now);
    const decided = this.scheduler.round(now);
    if (this.recorder.pending) this.flushing.wake();
    this.pushDirect(signal);
    this.cancellationRecorder.push();
    this.summarise(now);
    return decided;
  }

  private summarise(now: number): void {
    if (now - this.summaryAt < 10 * this.settings.deployment.workers.report_s) return;
    this.summaryAt = now;
    this.fleet.jobs.removeEnded();
    this.log.info(this.fleetSummary(), 'fleet summarised');
  }

  /** The fleet, its use and what waits. */
  fleetSummary(): FleetSummary {
    const teams = this.settings.deployment.teams.map((team) => team.name);
    return summariseFleet(this.fleet, this.scheduler, teams, this.clock.now());
  }

  /** Takes a report and says what to answer; null for a late copy. */
  acceptHeartbeat(heartbeat: Heartbeat): { fencingToken: number; orders: Order[] } | null {
    const before = this.recorder.pending;
    const outcome = this.fleet.heartbeats.handle(heartbeat, this.clock.now());
    if (outcome.kind === 'late-copy') return null;
    const { orders } = outcome;
    const fencingToken = this.fleet.machines.get(heartbeat.machine)?.fencingToken ?? this.term.term;
    this.logOrders(heartbeat.machine, orders);
    if (this.recorder.pending && !before) {
      this.flushing.wake();
      this.requestRound();
    }
    return { fencingToken, orders };
  }

  private logOrders(machine: string, orders: Order[]): void {
    for (const order of orders) this.log.debug({ machine, ...order }, 'order sent to worker');
  }
}
