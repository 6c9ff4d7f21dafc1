import { FailureTracker } from './failures/failure-tracker.js';
import type { Random } from './failures/job-failures.js';
import { type BestEffortTest, JobRegistry } from './model/job-registry.js';
import { FleetListener, NO_LISTENER } from './model/listener.js';
import { MachineRegistry } from './model/machine-registry.js';
import type { FleetSettings } from './model/fleet-settings.js';
import type { Machine } from './model/model.js';
import { ReleasedMachines } from './model/released-machines.js';
import type { MakeReplicas } from './model/replica-groups.js';
import { CapacityHolds } from './preemption/capacity-holds.js';
import { UnrecordedChanges } from './model/unrecorded-changes.js';
import { UsageLedger } from './fair-share/usage-ledger.js';

/** What the state of a part is made of. */
export interface FleetOptions {
  settings: FleetSettings;
  /** The owner's term, which is also its token (docs/safety.md, points 1 and 3). */
  term: number;
  /** When the part was claimed, in seconds of the steady clock. */
  electedAt: number;
  listener?: FleetListener;
  /** Source of jitter for retries; without it waits have their full length. */
  random?: Random;
  /** Tells which jobs run on room that is there anyway; none unless given. */
  isBestEffort?: BestEffortTest;
  /** Makes replicas of several members; without it each task of a service is by itself. */
  makeReplicas?: MakeReplicas;
}

/** The data of a part that all operations on it share. */
export class FleetTables {
  readonly settings: FleetSettings;
  readonly term: number;
  readonly electedAt: number;
  readonly listener: FleetListener;
  readonly unrecorded = new UnrecordedChanges();
  readonly jobs: JobRegistry;
  readonly machines: MachineRegistry;
  readonly released: ReleasedMachines;
  readonly usage: UsageLedger;
  readonly holds = new CapacityHolds();
  readonly failures: FailureTracker;
  protected readonly makeReplicas: MakeReplicas | undefined;
  /** Machines for which a direct command may be due. */
  readonly machinesWithCommands = new Set<Machine>();

  constructor(options: FleetOptions) {
    this.settings = options.settings;
    this.term = options.term;
    this.electedAt = options.electedAt;
    this.listener = options.listener ?? NO_LISTENER;
    this.makeReplicas = options.makeReplicas;
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
