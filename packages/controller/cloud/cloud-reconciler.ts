/** The loop that reconciles the cloud's machines with the fleet state of a leader. */
import { beginScaleIn, type Consolidation, type FleetState, startConsolidation } from '#core';
import { Budget } from '#store';
import { type Clock, type CloudClient, type MachineType, pause, type Runtime } from '#wire';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { Log } from '../observability/log.js';
import { MachineCatalog } from './machine-catalog.js';
import { MachineDeprovisioner } from './machine-deprovisioner.js';
import { MachineList } from './machine-list.js';
import { MachineProvisioner } from './machine-provisioner.js';

/** Heartbeat intervals for which a new leader collects heartbeats before it plans, unless it found no machines. */
const HEARTBEATS_BEFORE_PLAN = 4;
/** Pause between two steps, as a share of a heartbeat interval. */
const STEP_PAUSE_SHARE = 1 / 4;
/** Additional pause after a failed step, as a share of a heartbeat interval. */
const FAILURE_PAUSE_SHARE = 1 / 2;
/** Lower bound of the random factor on each pause; the upper bound is as far above 1 as this one is below. */
const MIN_JITTER = 0.75;
/** Share of the allowed rate that is used: a former leader's last requests may still count towards it. */
const RATE_SHARE = 0.85;

/** Dependencies and settings of a `CloudReconciler`. */
export interface CloudReconcilerOptions {
  runtime: Runtime;
  cloud: CloudClient;
  leader: ShardLeader;
  /** This controller's name. */
  name: string;
  /** Requests per second that the cloud allows for all controllers together. */
  rps: number;
  /** Seconds by which the cloud's machine list may be out of date. */
  listLagS: number;
  heartbeatIntervalS: number;
  /** Length of a worker lease; seconds. */
  leaseS: number;
  /** Called with the machine types after each read of the catalog. */
  onTypes: (types: MachineType[], signal: AbortSignal) => Promise<void>;
  /** Whether no other controller can lead the shard now, so that nothing is provisioned twice. */
  mayScaleOut: () => boolean;
  /**
   * Whether `mayScaleOut` holds and the state service serves this controller, so that tasks that are stopped here can
   * start elsewhere at once.
   */
  mayScaleIn: () => boolean;
  log: Log;
}

/**
 * Reads the cloud's catalog and list of machines, and scales the fleet out and in as the leader's
 * planner requests. Steps run one at a time; a failed step is logged at debug level and retried.
 */
export class CloudReconciler {
  /** When capacity was last planned, in seconds of the monotonic clock. */
  private plannedAt = -Infinity;
  private paused = false;
  /** The step in progress; resolved while no step is in progress. */
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
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- the signal may have aborted during the step
        if (signal.aborted) return;
        this.log.debug({ err: String(err) }, 'cloud reconciliation failed, will be retried');
        await this.pauseFor(heartbeatIntervalS * FAILURE_PAUSE_SHARE, signal);
      }
      await this.pauseFor(heartbeatIntervalS * STEP_PAUSE_SHARE, signal);
    }
  }

  /** Stops sending requests to the cloud; resolves once no request is in flight. */
  async pause(): Promise<void> {
    this.paused = true;
    try {
      await this.currentStep;
    } catch {
      // Nothing is lost: `run` awaits the same step, logs its failure and retries it after `resume`.
    }
  }

  /** Resumes reconciliation after `pause`. */
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
    // To a former leader that doesn't know of its successor yet, every machine looks unreachable, and machines
    // that it was about to scale in look empty. It must neither scale out nor scale in on such a view.
    if (!mayScaleOut()) return;
    if (mayScaleIn()) await this.deprovisioner.deprovisionUnusable(now, signal);
    if (!this.mayPlan(now) || now - this.plannedAt < heartbeatIntervalS) return;
    this.plannedAt = now;
    await this.carryOutPlan(now, signal);
  }

  /** Whether capacity may be planned. After a failover the heartbeats of existing machines come first. */
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
