/** The leader of a shard during one term. */
import type { Subscription } from 'rxjs';
import type { CapacityPlanner, FleetState } from '#core';
import type { ReplicaGroups } from '#replicas';
import type { Term } from '#store';
import type { Heartbeat, Order } from '#wire';
import type { JobEvent } from '../jobs/job-table.js';
import { type FleetSummary, summariseFleet } from '../observability/fleet-summary.js';
import { FleetSummaryLog } from './fleet-summary-log.js';
import {
  composeLeader,
  composeRecordLoader,
  type LeaderComponents,
  logOrders,
  type ShardLeaderOptions,
} from './leader-components.js';
import type { Pacer } from './pacer.js';
import { makeSchedulingRounds, roundIntervalMs } from './round-pacing.js';

/** What a leader answers to a heartbeat. */
export interface HeartbeatAnswer {
  fencingToken: number;
  orders: Order[];
}

/**
 * Loads the records of earlier leaders, then decides, records and commands workers until its term ends. It is
 * run once: a term that must be led again after a failed load gets a new leader.
 */
export class ShardLeader {
  readonly fleet: FleetState;
  readonly planner: CapacityPlanner;
  /** Null: each task of a service is a replica by itself. */
  readonly replicaGroups: ReplicaGroups | null;
  readonly term: Term;
  /** When this leader was made; steady seconds. */
  readonly startedAt: number;
  /** The records are loaded and orders may have been given. */
  recordsLoaded = false;
  /** No earlier leader has recorded any machine. */
  foundNoMachines = false;
  private readonly components: LeaderComponents;
  private readonly summaryLog: FleetSummaryLog;
  /** Null until the records are loaded. */
  private rounds: Pacer | null = null;

  constructor(private readonly options: ShardLeaderOptions) {
    const { runtime, settings, term, log } = options;
    this.startedAt = runtime.clock.now();
    this.term = term;
    this.components = composeLeader(options, {
      requestRound: () => {
        this.requestRound();
      },
      pushCommands: (signal) => {
        this.pushCommands(signal);
      },
    });
    this.fleet = this.components.fleet;
    this.planner = this.components.planner;
    this.replicaGroups = this.components.replicaGroups;
    this.summaryLog = new FleetSummaryLog({
      fleet: this.fleet,
      heartbeatIntervalS: settings.deployment.workers.report_s,
      summarise: () => this.fleetSummary(),
      log,
    });
  }

  /**
   * Leads until the signal aborts, and resolves once all that was started has ended. Rejects with TermBroken
   * if the term must be given up, or with the error that kept the records from being loaded.
   */
  async run(signal: AbortSignal): Promise<void> {
    await this.loadRecords(signal);
    this.recordsLoaded = true;
    const { jobs, machines } = this.fleet;
    const found = { jobs: jobs.waiting.size, machines: machines.size };
    this.options.log.info({ term: this.term.term, ...found }, 'leader ready');
    const jobEvents = this.followJobs();
    const rounds = this.startRounds(signal);
    try {
      await this.components.flushLoop.run(signal);
    } finally {
      jobEvents.unsubscribe();
      rounds.stop();
      this.components.directCommands.close();
    }
  }

  /** Stops deciding; resolves once nothing that was decided is on its way to the state service. */
  pause(): Promise<void> {
    this.rounds?.stop();
    return this.components.flushLoop.pause();
  }

  /** Decides again after a pause. */
  resume(): void {
    this.components.flushLoop.resume();
    this.rounds?.start();
    this.requestRound();
  }

  /** Asks for a scheduling round soon. */
  requestRound(): void {
    this.rounds?.request();
  }

  /** A user has cancelled the job; the record that says so may be still to come. */
  cancelJob(id: string): void {
    if (this.components.intake.cancel(id)) this.requestRound();
  }

  /** The fleet, its use and what waits. */
  fleetSummary(): FleetSummary {
    const { runtime, settings } = this.options;
    const teams = settings.deployment.teams.map((team) => team.name);
    return summariseFleet(this.fleet, this.components.scheduler, teams, runtime.clock.now());
  }

  /** Applies a heartbeat and says what to answer; null for a late copy. */
  acceptHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer | null {
    const { recorder, flushLoop } = this.components;
    const wasPending = recorder.pending;
    const outcome = this.fleet.heartbeats.handle(heartbeat, this.options.runtime.clock.now());
    if (outcome.kind === 'late-copy') return null;
    const { orders } = outcome;
    const fencingToken = this.fleet.machines.get(heartbeat.machine)?.fencingToken ?? this.term.term;
    logOrders(this.options.log, heartbeat.machine, orders);
    if (recorder.pending && !wasPending) {
      flushLoop.wake();
      this.requestRound();
    }
    return { fencingToken, orders };
  }

  private async loadRecords(signal: AbortSignal): Promise<void> {
    const { types, runtime } = this.options;
    for (const type of types()) this.fleet.machines.setType(type);
    const loader = composeRecordLoader(this.options, this.components);
    this.foundNoMachines = (await loader.load(signal)) === 0;
    this.replicaGroups?.loaded(runtime.clock.now());
  }

  /** Changes of jobs reach the fleet state as long as the subscription lasts. */
  private followJobs(): Subscription {
    return this.options.jobs.events.subscribe((event) => {
      this.applyJobEvent(event);
    });
  }

  private applyJobEvent(event: JobEvent): void {
    const { intake, recorder } = this.components;
    if (event.kind === 'record') {
      const { record } = event;
      intake.accept(record);
      if (record.phase !== 'accepted') recorder.jobRecords.jobEnded(record.job);
    } else intake.applyDependencyChange(event);
    this.requestRound();
  }

  private startRounds(signal: AbortSignal): Pacer {
    const { runtime, settings, onRound, log } = this.options;
    this.rounds = makeSchedulingRounds({
      clock: runtime.clock,
      intervalMs: roundIntervalMs(settings),
      round: () => this.round(signal),
      onRound,
      log,
    });
    this.rounds.start();
    return this.rounds;
  }

  /** One scheduling round and what follows from it; returns the number of decisions. */
  private round(signal: AbortSignal): number {
    const { schedulingRound, recorder, flushLoop, cancellationRecorder } = this.components;
    const now = this.options.runtime.clock.now();
    const decisions = schedulingRound.run(now);
    if (recorder.pending) flushLoop.wake();
    this.pushCommands(signal);
    cancellationRecorder.recordDue();
    this.summaryLog.update(now);
    return decisions;
  }

  private pushCommands(signal: AbortSignal): void {
    if (this.options.holdsLeaderLease()) this.components.directCommands.push(signal);
  }
}
