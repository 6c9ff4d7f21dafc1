/** The data of a shard's fleet that all operations on it share. */
import { FailureTracker } from './failures/failure-tracker.js';
import type { Random } from './failures/job-failures.js';
import { type BestEffortPredicate, JobRegistry } from './model/job-registry.js';
import { type FleetListener, NO_LISTENER } from './model/listener.js';
import { MachineRegistry } from './model/machine-registry.js';
import type { FleetSettings } from './model/fleet-settings.js';
import type { Machine } from './model/entities.js';
import { ReleasedMachines } from './model/released-machines.js';
import type { MakeReplicas } from './model/replica-groups.js';
import { CapacityHolds } from './preemption/capacity-holds.js';
import { UnrecordedChanges } from './model/unrecorded-changes.js';
import { UsageLedger } from './fair-share/usage-ledger.js';

/** Options for creating the state of a shard's fleet. */
export interface FleetOptions {
  settings: FleetSettings;
  /** The leader's term, which is also its fencing token (docs/safety.md, points 1 and 3). */
  term: number;
  /** When the leader was elected, in seconds of the monotonic clock. */
  electedAt: number;
  listener?: FleetListener;
  /** Source of jitter for retries; without it, each backoff has its full length. */
  random?: Random;
  /** Decides which jobs are best-effort and run on spare capacity only; without it, no job is. */
  isBestEffort?: BestEffortPredicate;
  /** Groups the tasks of services into replicas of several members; without it, tasks are not grouped. */
  makeReplicas?: MakeReplicas;
}

/**
 * The data of a shard's fleet. Operations on the fleet take this class as an argument. `FleetState` extends it and
 * creates the operations, so that callers reach both through one object.
 */
export class FleetData {
  readonly settings: FleetSettings;
  readonly term: number;
  readonly electedAt: number;
  readonly listener: FleetListener;
  /** Changes that are not yet durable in the state service. */
  readonly unrecordedChanges = new UnrecordedChanges();
  readonly jobs: JobRegistry;
  readonly machines: MachineRegistry;
  /** Names of machines that the cloud has deprovisioned. */
  readonly releasedMachines: ReleasedMachines;
  readonly usage: UsageLedger;
  /** Free capacity that is held for one job, for example after preemption. */
  readonly holds = new CapacityHolds();
  readonly failures: FailureTracker;
  /** Machines to which a direct command may have to be sent. */
  readonly machinesWithCommands = new Set<Machine>();

  constructor(options: FleetOptions) {
    this.settings = options.settings;
    this.term = options.term;
    this.electedAt = options.electedAt;
    this.listener = options.listener ?? NO_LISTENER;
    const isBestEffort = options.isBestEffort ?? (() => false);
    this.jobs = new JobRegistry(options.settings.halfLifeS, this.unrecordedChanges, isBestEffort);
    this.machines = new MachineRegistry(options.term);
    this.releasedMachines = new ReleasedMachines(options.settings.leaseS);
    this.usage = new UsageLedger(options.settings.halfLifeS);
    const { settings, machines, usage, holds, listener } = this;
    const random = options.random ?? (() => 0);
    this.failures = new FailureTracker({ settings, machines, usage, holds, listener, random });
  }
}
