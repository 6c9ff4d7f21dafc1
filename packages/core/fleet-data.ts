/** The data that all operations on a shard's fleet share. */
import { FailureTracker } from './failures/failure-tracker.js';
import type { Random } from './failures/job-failures.js';
import { type BestEffortTest, JobRegistry } from './model/job-registry.js';
import { type FleetListener, NO_LISTENER } from './model/listener.js';
import { MachineRegistry } from './model/machine-registry.js';
import type { FleetSettings } from './model/fleet-settings.js';
import type { Machine } from './model/entities.js';
import { ReleasedMachines } from './model/released-machines.js';
import type { MakeReplicas } from './model/replica-groups.js';
import { CapacityHolds } from './preemption/capacity-holds.js';
import { UnrecordedChanges } from './model/unrecorded-changes.js';
import { UsageLedger } from './fair-share/usage-ledger.js';

/** What the state of a shard's fleet is made from. */
export interface FleetOptions {
  settings: FleetSettings;
  /** The leader's term, which is also its fencing token (docs/safety.md, points 1 and 3). */
  term: number;
  /** When the leader was elected, in seconds of the steady clock. */
  electedAt: number;
  listener?: FleetListener;
  /** Source of jitter for retries; without it waits have their full length. */
  random?: Random;
  /** Tells which jobs run on capacity that is there anyway; none unless given. */
  isBestEffort?: BestEffortTest;
  /** Makes replicas of several members; without it each task of a service is by itself. */
  makeReplicas?: MakeReplicas;
}

/**
 * The data of a shard's fleet. Operations on it take this class; `FleetState` extends it by the operations, so that
 * callers find both in one place.
 */
export class FleetData {
  readonly settings: FleetSettings;
  readonly term: number;
  readonly electedAt: number;
  readonly listener: FleetListener;
  /** Changes that are not durable yet. */
  readonly unrecorded = new UnrecordedChanges();
  readonly jobs: JobRegistry;
  readonly machines: MachineRegistry;
  /** Names of machines that are gone. */
  readonly released: ReleasedMachines;
  readonly usage: UsageLedger;
  /** Capacity that preemption has freed, and for whom. */
  readonly holds = new CapacityHolds();
  readonly failures: FailureTracker;
  /** Machines for which a direct command may be due. */
  readonly machinesWithCommands = new Set<Machine>();

  constructor(options: FleetOptions) {
    this.settings = options.settings;
    this.term = options.term;
    this.electedAt = options.electedAt;
    this.listener = options.listener ?? NO_LISTENER;
    const isBestEffort = options.isBestEffort ?? (() => false);
    this.jobs = new JobRegistry(options.settings.halfLifeS, this.unrecorded, isBestEffort);
    this.machines = new MachineRegistry(options.term);
    this.released = new ReleasedMachines(options.settings.leaseS);
    this.usage = new UsageLedger(options.settings.halfLifeS);
    const { settings, machines, usage, holds, listener } = this;
    const random = options.random ?? (() => 0);
    this.failures = new FailureTracker({ settings, machines, usage, holds, listener, random });
  }
}
