import type { Job } from '#wire';
import { taskRef } from './heartbeats/answer-orders.js';
import { Assignments } from './assignments.js';
import { DirectOrders } from './heartbeats/direct-orders.js';
import { type Dependencies, independent } from './model/job-dependencies.js';
import { FleetOptions, FleetTables } from './fleet-tables.js';
import { MachineLeases } from './heartbeats/machine-leases.js';
import { assignmentsOf, type JobReplicas, type JobState } from './model/model.js';
import type { ReplicaShape } from './model/replica-shape.js';
import { HeartbeatProcessor } from './heartbeats/heartbeat-processor.js';
import { StartFencing } from './heartbeats/start-fencing.js';
import { TaskReconciler } from './heartbeats/task-reconciler.js';

/** What the records hold of a job beside its submission. */
export interface JobOptions {
  /** How its tasks form replicas; without it each is by itself. */
  shape?: ReplicaShape;
  /** What other jobs make of it; without it it awaits none and none needs it. */
  dependencies?: Dependencies;
}

/**
 * What the owner of a part believes of its machines, jobs and tasks. A pure state machine: time and
 * messages come in as arguments, and what must be made durable comes out in `unrecorded`. A place is
 * given up only when the task is proven gone (docs/safety.md, point 5).
 */
export class FleetState extends FleetTables {
  /** Starts, stops and ends of tasks. */
  readonly assignments: Assignments;
  /** The workers' leases. */
  readonly leases: MachineLeases;
  /** Fencing of starts that were not acknowledged. */
  readonly fencing: StartFencing;
  /** Takes in what workers report. */
  readonly heartbeats: HeartbeatProcessor;
  /** Commands that don't wait for a report. */
  readonly directOrders: DirectOrders;

  constructor(options: FleetOptions) {
    super(options);
    this.assignments = new Assignments(this);
    this.leases = new MachineLeases(this, this.assignments);
    this.fencing = new StartFencing(this);
    const tasks = new TaskReconciler(this, this.assignments, this.fencing);
    this.heartbeats = new HeartbeatProcessor(this, this.assignments, this.fencing, tasks);
    this.directOrders = new DirectOrders(this, this.fencing, tasks);
  }

  /**
   * Takes a job record in; of a known job only a final phase is news.
   */
  addJob(
    job: Job,
    acceptedAt: number,
    phase: JobState['phase'],
    now: number,
    { shape, dependencies = independent(job) }: JobOptions = {},
  ): JobState {
    const known = this.jobs.get(job.id);
    if (!known) {
      const replicasOf = this.replicasOf(shape, phase);
      return this.jobs.add(job, acceptedAt, phase, now, { replicasOf, dependencies });
    }
    if (phase !== 'accepted') this.closeJob(known, phase, now);
    return known;
  }

  private replicasOf(
    shape: ReplicaShape | undefined,
    phase: JobState['phase'],
  ): (job: JobState) => JobReplicas | null {
    const { makeReplicas } = this;
    if (!shape || phase !== 'accepted' || !makeReplicas) return () => null;
    return (job) => makeReplicas(job, shape);
  }

  /** Jobs that need it have come or gone: another rank counts for it and for what it has running. */
  changeRank(job: JobState, rank: number, now: number): void {
    if (job.phase === 'accepted' && job.rank !== rank) this.assignments.changeRank(job, rank, now);
  }

  /** A final phase that the state service holds. All tasks of the job are stopped. */
  closeJob(job: JobState, phase: 'cancelled' | 'done', now: number): void {
    if (job.phase !== 'accepted') return;
    this.jobs.setFinalPhase(job, phase);
    this.failures.jobClosed(job);
    job.replicas?.jobClosed();
    for (const assignment of assignmentsOf(job)) {
      this.fencing.revoke(assignment.machine, taskRef(assignment));
      this.assignments.stop(assignment, 0, now);
    }
    this.listener.jobClosed(job, now);
  }

  /** The cloud has confirmed the release: the machine and all that was on it are gone. */
  removeMachine(name: string, now: number): void {
    const machine = this.machines.get(name);
    if (!machine) return;
    this.assignments.endAllOn(machine, now);
    this.machines.remove(machine);
    this.released.add(name, now);
    this.holds.release(machine);
    this.machinesWithCommands.delete(machine);
    this.unrecorded.machines.add(name);
  }
}
