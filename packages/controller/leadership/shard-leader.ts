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
  type ShardLeaderOptions,
} from './leader-components.js';
import type { Pacer } from './pacer.js';
import { makeSchedulingRounds, roundIntervalMs } from './round-pacing.js';

/** A leader's answer to a heartbeat. */
export interface HeartbeatAnswer {
  fencingToken: number;
  orders: Order[];
}

/**
 * Loads the records of earlier leaders, then schedules, records decisions and commands workers until its term ends.
 * A leader runs once: after a failed load, the term gets a new leader.
 */
export class ShardLeader {
  readonly fleet: FleetState;
  readonly planner: CapacityPlanner;
  /** Null if replica groups are switched off: each task of a service is then a replica by itself. */
  readonly replicaGroups: ReplicaGroups | null;
  readonly term: Term;
  /** When this leader was constructed, in seconds of the monotonic clock. */
  readonly startedAt: number;
  /** Whether the records are loaded. If they are, orders may have been sent. */
  recordsLoaded = false;
  /** Whether the records of earlier leaders contain no machine; false until they are loaded. */
  foundNoMachines = false;
  private readonly components: LeaderComponents;
  private readonly summaryLog: FleetSummaryLog;
  /** Aborts when the term ends; null until the leader runs. */
  private termSignal: AbortSignal | null = null;
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
      commandDone: (signal) => {
        this.stopUnexpectedAttempts(signal);
        this.requestRound();
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
   * Leads until the signal aborts, and resolves once everything that it started has ended. Rejects with
   * TermLostError if the leader must step down because of the records, or with the error that made loading them fail.
   */
  async run(signal: AbortSignal): Promise<void> {
    this.termSignal = signal;
    await this.loadRecords(signal);
    this.recordsLoaded = true;
    const { jobs, machines } = this.fleet;
    const found = { jobs: jobs.waiting.size, machines: machines.size };
    const { revision: jobsRevision } = this.options.jobs.cache;
    this.options.log.info({ term: this.term.term, jobsRevision, ...found }, 'leader ready');
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

  /** Stops all decisions. Resolves once none is in flight to the state service. */
  pause(): Promise<void> {
    this.rounds?.stop();
    return this.components.flushLoop.pause();
  }

  /** Resumes decisions after a pause. */
  resume(): void {
    this.components.flushLoop.resume();
    this.rounds?.start();
    this.requestRound();
  }

  /** Requests a scheduling round soon. */
  requestRound(): void {
    this.rounds?.request();
  }

  /** Cancels a job on a user's request. The record of the cancellation may not be written yet. */
  cancelJob(id: string): void {
    if (this.components.intake.cancel(id)) this.requestRound();
  }

  /** Summarises the fleet, its utilisation and the waiting work. */
  fleetSummary(): FleetSummary {
    const { runtime, settings } = this.options;
    const teams = settings.deployment.teams.map((team) => team.name);
    return summariseFleet(this.fleet, this.components.scheduler, teams, runtime.clock.now());
  }

  /** Applies a heartbeat and returns the answer; null if it is a duplicate that arrived late. */
  acceptHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer | null {
    const { recorder, flushLoop, orderHistory } = this.components;
    const wasPending = recorder.hasPendingChanges;
    const now = this.options.runtime.clock.now();
    const outcome = this.fleet.heartbeats.handle(heartbeat, now);
    if (outcome.kind === 'late-copy') return null;
    const { orders } = outcome;
    const machine = this.fleet.machines.get(heartbeat.machine);
    if (machine) orderHistory.add(machine, 'answer', orders, now);
    if (this.termSignal !== null) this.stopUnexpectedAttempts(this.termSignal);
    if (recorder.hasPendingChanges && !wasPending) {
      flushLoop.wake();
      this.requestRound();
    }
    return { fencingToken: machine?.fencingToken ?? this.term.term, orders };
  }

  private async loadRecords(signal: AbortSignal): Promise<void> {
    const { types, runtime } = this.options;
    for (const type of types()) this.fleet.machines.setType(type);
    const loader = composeRecordLoader(this.options, this.components);
    this.foundNoMachines = (await loader.load(signal)) === 0;
    this.replicaGroups?.recordsLoaded(runtime.clock.now());
  }

  /** Applies changes of jobs to the fleet state until the subscription ends. */
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
      if (record.phase !== 'accepted') recorder.jobRecords.markJobEnded(record.job);
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

  /** Runs one scheduling round, then starts recording and sending its results. Returns the number of decisions. */
  private round(signal: AbortSignal): number {
    const { schedulingRound, recorder, flushLoop, cancellationRecorder } = this.components;
    const now = this.options.runtime.clock.now();
    const decisions = schedulingRound.run(now);
    if (recorder.hasPendingChanges) flushLoop.wake();
    this.pushCommands(signal);
    cancellationRecorder.recordDue();
    this.summaryLog.update(now);
    return decisions;
  }

  /** Sends direct commands at once if attempts were found that run without an assignment. */
  private stopUnexpectedAttempts(signal: AbortSignal): void {
    if (this.fleet.unexpectedAttempts.takeNew()) this.pushCommands(signal);
  }

  private pushCommands(signal: AbortSignal): void {
    if (this.options.holdsLeaderLease()) this.components.directCommands.push(signal);
  }
}
