/** The loop that keeps the cloud's machines and the fleet state of a leader in step. */
import { beginScaleIn, type Consolidation, type FleetState, startConsolidation } from '#core';
import { Budget } from '#store';
import { type Clock, type CloudClient, type MachineType, pause, type Runtime } from '#wire';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { Log } from '../observability/log.js';
import { MachineCatalog } from './machine-catalog.js';
import { MachineDeprovisioner } from './machine-deprovisioner.js';
import { MachineList } from './machine-list.js';
import { MachineProvisioner } from './machine-provisioner.js';

/** Heartbeat intervals that a new leader receives heartbeats before it plans, unless it is the first. */
const HEARTBEATS_BEFORE_PLAN = 4;
/** Shares of a heartbeat interval from one step to the next, and what a failed step adds to it. */
const STEP_PAUSE_SHARE = 1 / 4;
const FAILURE_PAUSE_SHARE = 1 / 2;
/** Each pause is drawn between this share of itself and as much above it. */
const MIN_JITTER = 0.75;
/** Share of the allowed rate that is used; a former leader's last calls may still count. */
const RATE_SHARE = 0.85;

/** What a `CloudReconciler` works on. */
export interface CloudReconcilerOptions {
  runtime: Runtime;
  cloud: CloudClient;
  leader: ShardLeader;
  /** This controller's name. */
  name: string;
  /** Requests a second that the cloud allows to all controllers together. */
  rps: number;
  /** How far the cloud's list of machines may be behind; seconds. */
  listLagS: number;
  heartbeatIntervalS: number;
  /** Length of a worker lease; seconds. */
  leaseS: number;
  /** Called with the machine types after each read of the catalog. */
  onTypes: (types: MachineType[], signal: AbortSignal) => Promise<void>;
  /** Whether no other controller can lead the shard now, so that nothing is provisioned twice. */
  mayScaleOut: () => boolean;
  /** Whether, besides, the state service serves us: what is stopped here can start elsewhere at once. */
  mayScaleIn: () => boolean;
  log: Log;
}

/**
 * Reads the cloud's catalog and list of machines, and scales the fleet out and in as the leader's
 * planner asks. One step at a time; a step that fails is logged at debug and tried again.
 */
export class CloudReconciler {
  /** When the fleet was last planned; steady seconds. */
  private plannedAt = -Infinity;
  private paused = false;
  /** The step that is under way; resolved if none is. */
  private currentStep: Promise<void> = Promise.resolve();
  private readonly clock: Clock;
  private readonly leader: ShardLeader;
  private readonly fleet: FleetState;
  private readonly log: Log;
  private readonly catalog: MachineCatalog;
  private readonly machineList: MachineList;
  private readonly provisioner: MachineProvisioner;
  private readonly deprovisioner: MachineDeprovisioner;

  constructor(private readonly options: CloudReconcilerOptions) {
    const { cloud, leader, name, rps, listLagS, heartbeatIntervalS, leaseS, log } = options;
    const { onTypes, mayScaleOut, mayScaleIn } = options;
    const { clock } = options.runtime;
    const { fleet } = leader;
    this.clock = clock;
    this.leader = leader;
    this.fleet = fleet;
    this.log = log;
    const access = { cloud, budget: new Budget(clock, rps * RATE_SHARE) };
    this.catalog = new MachineCatalog({ ...access, fleet, heartbeatIntervalS, onTypes });
    const machineList = new MachineList({ ...access, clock, fleet, listLagS, heartbeatIntervalS });
    this.machineList = machineList;
    this.provisioner = new MachineProvisioner({ ...access, clock, leader, name, mayScaleOut, log });
    const requestRound = () => {
      leader.requestRound();
    };
    const scaleIn = { clock, fleet, machineList, leaseS, mayScaleIn, requestRound, log };
    this.deprovisioner = new MachineDeprovisioner({ ...access, ...scaleIn });
  }

  /** Reconciles until the signal aborts. Never rejects. */
  async run(signal: AbortSignal): Promise<void> {
    const { heartbeatIntervalS } = this.options;
    while (!signal.aborted) {
      try {
        if (!this.paused) this.currentStep = this.step(signal);
        await this.currentStep;
      } catch (err) {
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- it may have aborted in the step
        if (signal.aborted) return;
        this.log.debug({ err: String(err) }, 'cloud reconciliation failed, will be retried');
        await this.pauseFor(heartbeatIntervalS * FAILURE_PAUSE_SHARE, signal);
      }
      await this.pauseFor(heartbeatIntervalS * STEP_PAUSE_SHARE, signal);
    }
  }

  /** Sends no further request to the cloud; resolves once no call is under way. */
  async pause(): Promise<void> {
    this.paused = true;
    try {
      await this.currentStep;
    } catch {
      // Nothing is lost: `run` awaits the same step, logs its failure and retries it after `resume`.
    }
  }

  /** Reconciles again after a pause. */
  resume(): void {
    this.paused = false;
  }

  private async pauseFor(seconds: number, signal: AbortSignal): Promise<void> {
    const jitter = MIN_JITTER + this.options.runtime.random() * 2 * (1 - MIN_JITTER);
    await pause(this.clock, seconds * 1000 * jitter, signal);
  }

  private async step(signal: AbortSignal): Promise<void> {
    const { heartbeatIntervalS, mayScaleOut, mayScaleIn } = this.options;
    const now = this.clock.now();
    await this.catalog.refreshIfDue(now, signal);
    await this.machineList.refreshIfDue(now, signal);
    // A former leader that doesn't know of its successor yet takes every machine for unreachable, and those
    // that it was about to scale in for empty: it must neither scale out nor scale in on that.
    if (!mayScaleOut()) return;
    if (mayScaleIn()) await this.deprovisioner.deprovisionUnusable(now, signal);
    if (!this.mayPlan(now) || now - this.plannedAt < heartbeatIntervalS) return;
    this.plannedAt = now;
    await this.carryOutPlan(now, signal);
  }

  /** After a failover, first wait for heartbeats of the machines that are there. */
  private mayPlan(now: number): boolean {
    const { leader, machineList, options } = this;
    const waitS = leader.foundNoMachines ? 0 : HEARTBEATS_BEFORE_PLAN * options.heartbeatIntervalS;
    return leader.recordsLoaded && machineList.loaded && now - leader.startedAt > waitS;
  }

  private async carryOutPlan(now: number, signal: AbortSignal): Promise<void> {
    const { scaleOut, scaleIn, consolidation } = this.leader.planner.plan(now);
    if (consolidation !== null && this.options.mayScaleIn()) this.consolidate(consolidation, now);
    if (scaleIn.length > 0) {
      for (const machine of scaleIn) beginScaleIn(this.fleet, machine, now);
      this.log.info({ machines: scaleIn.map((machine) => machine.name) }, 'scale-in started');
    }
    await this.provisioner.provisionAll(scaleOut, signal);
  }

  private consolidate(consolidation: Consolidation, now: number): void {
    startConsolidation(this.fleet, consolidation, now);
    this.leader.requestRound();
    const { machine, moves } = consolidation;
    this.log.info({ machine: machine.name, replicas: moves.length }, 'consolidation started');
  }
}
