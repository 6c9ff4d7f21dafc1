import { Clock, CloudClient, MachineType, pause, RELEASE_AT_ONCE, Runtime } from '#wire';
import { Consolidation, FleetState, beginScaleIn, Machine, startConsolidation } from '#core';
import { Budget } from '#store';
import type { CloudAccess } from './cloud-access.js';
import type { Log } from '../observability/log.js';
import { MachineCatalog } from './machine-catalog.js';
import { MachineList } from './machine-list.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import { MachineProvisioner } from './machine-provisioner.js';
import { unusableMachines } from './unusable-machines.js';

/** Report periods that a new owner listens before it plans, unless it is the first. */
const LISTEN_PERIODS = 4;
/** Shares of a report period from one step to the next, and what a failed step adds to it. */
const STEP_PAUSE = 1 / 4;
const FAILURE_PAUSE = 1 / 2;
/** Each pause is drawn between this share of itself and as much above it. */
const LEAST_PAUSE = 0.75;
/** Share of the allowed rate that is used; a former owner's last calls may still count. */
const RATE_SHARE = 0.85;

export interface CloudReconcilerOptions {
  runtime: Runtime;
  cloud: CloudClient;
  leader: ShardLeader;
  /** This controller's name. */
  name: string;
  /** Requests a second that the cloud allows to all controllers together. */
  rps: number;
  /** How far the cloud's list of machines may be behind. */
  listLagS: number;
  heartbeatIntervalS: number;
  leaseS: number;
  /** Told of the machine types whenever they were asked for. */
  onTypes: (types: MachineType[], signal: AbortSignal) => Promise<void>;
  /** Nobody else can own the part now, so what is rented is not rented twice. */
  mayScaleOut: () => boolean;
  /** Besides, the state service serves us: what is stopped here can start elsewhere at once. */
  mayScaleIn: () => boolean;
  log: Log;
}

/** The leader's dealings with the cloud: the list, rents and releases. */
export class CloudReconciler {
  private plannedAt = -Infinity;
  private paused = false;
  /** The step that is under way; resolved if none is. */
  private current: Promise<void> = Promise.resolve();
  private readonly clock: Clock;
  private readonly leader: ShardLeader;
  private readonly fleet: FleetState;
  private readonly log: Log;
  private readonly access: CloudAccess;
  private readonly catalog: MachineCatalog;
  private readonly machineList: MachineList;
  private readonly provisioner: MachineProvisioner;

  constructor(private readonly options: CloudReconcilerOptions) {
    const { cloud, leader, rps } = options;
    this.clock = options.runtime.clock;
    ({ leader: this.leader, log: this.log } = options);
    this.fleet = leader.fleet;
    this.access = { cloud, budget: new Budget(this.clock, rps * RATE_SHARE) };
    const { clock, fleet } = this;
    const parts = { ...options, ...this.access, clock, fleet };
    this.catalog = new MachineCatalog(parts);
    this.machineList = new MachineList(parts);
    this.provisioner = new MachineProvisioner(parts);
  }

  /** Deals with the cloud until the signal aborts; what fails is tried again. */
  async run(signal: AbortSignal): Promise<void> {
    const { heartbeatIntervalS } = this.options;
    while (!signal.aborted) {
      try {
        if (!this.paused) this.current = this.step(signal);
        await this.current;
      } catch (err) {
        if (signal.aborted) return;
        this.log.debug({ err: String(err) }, 'cloud');
        await this.rest(heartbeatIntervalS * FAILURE_PAUSE, signal);
      }
      await this.rest(heartbeatIntervalS * STEP_PAUSE, signal);
    }
  }

  /** Asks the cloud for nothing more; resolves once no call is under way. */
  async pause(): Promise<void> {
    this.paused = true;
    await this.current.catch(() => {});
  }

  /** Goes on after a pause. */
  resume(): void {
    this.paused = false;
  }

  private async rest(seconds: number, signal: AbortSignal): Promise<void> {
    const spread = LEAST_PAUSE + this.options.runtime.random() * 2 * (1 - LEAST_PAUSE);
    await pause(this.clock, seconds * 1000 * spread, signal);
  }

  private async step(signal: AbortSignal): Promise<void> {
    const { heartbeatIntervalS, mayScaleOut, mayScaleIn } = this.options;
    const now = this.clock.now();
    await this.catalog.refreshIfDue(now, signal);
    await this.machineList.refreshIfDue(now, signal);
    // A former owner that doesn't know of its successor yet takes every machine for silent, and those
    // that it was about to return for empty: it must neither rent nor release on that.
    if (!mayScaleOut()) return;
    if (mayScaleIn()) await this.scaleInUnusable(now, signal);
    if (!this.mayPlan(now) || now - this.plannedAt < heartbeatIntervalS) return;
    this.plannedAt = now;
    await this.carryOutPlan(now, signal);
  }

  /** After a take-over, first hear what is there. */
  private mayPlan(now: number): boolean {
    const { leader, options, machineList: list } = this;
    const listenS = leader.first ? 0 : LISTEN_PERIODS * options.heartbeatIntervalS;
    return leader.ready && list.known && now - leader.startedAt > listenS;
  }

  private async carryOutPlan(now: number, signal: AbortSignal): Promise<void> {
    const { scaleOut, scaleIn, consolidation } = this.leader.planner.plan(now);
    if (consolidation !== null && this.options.mayScaleIn()) this.consolidate(consolidation, now);
    if (scaleIn.length > 0) {
      for (const machine of scaleIn) beginScaleIn(this.fleet, machine, now);
      this.log.info({ machines: scaleIn.map((machine) => machine.name) }, 'surplus');
    }
    await this.provisioner.provisionAll(scaleOut, signal);
  }

  private consolidate(consolidation: Consolidation, now: number): void {
    startConsolidation(this.fleet, consolidation, now);
    this.leader.requestRound();
    const { machine, moves } = consolidation;
    this.log.info({ machine: machine.name, replicas: moves.length }, 'emptied');
  }

  private async scaleInUnusable(now: number, signal: AbortSignal): Promise<void> {
    const unusable = unusableMachines(this.fleet, now, this.options.leaseS);
    if (unusable.length > 0) await this.release(unusable.slice(0, RELEASE_AT_ONCE), signal);
  }

  private async release(machines: Machine[], signal: AbortSignal): Promise<void> {
    const names = machines.map((machine) => machine.name);
    for (const machine of machines) this.fleet.machines.drain(machine);
    await this.access.budget.acquire(1, true, signal);
    // The wait for the budget may have been long, or the process may have stood still in it.
    if (!this.options.mayScaleIn()) return;
    await this.access.cloud.release(names, signal);
    const now = this.clock.now();
    for (const name of names) this.fleet.removeMachine(name, now);
    this.machineList.recordReleased(names, now);
    this.log.info({ machines: names }, 'released');
    this.leader.requestRound();
  }
}
