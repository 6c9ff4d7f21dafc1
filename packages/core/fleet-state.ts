/** The state of a shard's fleet, and the operations that change it. */
import type { Job } from '#wire';
import { taskRef } from './heartbeats/answer-orders.js';
import { Assignments } from './assignments/assignments.js';
import { DirectOrders } from './heartbeats/direct-orders.js';
import { type Dependencies, independent } from './model/job-dependencies.js';
import { type FleetOptions, FleetData } from './fleet-data.js';
import { MachineLeases } from './heartbeats/machine-leases.js';
import { assignmentsOf, type JobReplicas, type JobState } from './model/entities.js';
import type { MakeReplicas } from './model/replica-groups.js';
import type { ReplicaShape } from './model/replica-shape.js';
import { HeartbeatProcessor } from './heartbeats/heartbeat-processor.js';
import { StartFencing } from './heartbeats/start-fencing.js';
import { TaskReconciler } from './heartbeats/task-reconciler.js';

/** What is known of a job beside its submission. */
export interface JobOptions {
  /** How its tasks form replicas; without it each is by itself. */
  shape?: ReplicaShape;
  /** What other jobs mean for it; without it the job has neither dependencies nor dependents. */
  dependencies?: Dependencies;
}

/**
 * What the leader of a shard knows of its machines, jobs and tasks. A pure state machine: time and
 * messages come in as arguments, and what must be made durable comes out in `unrecorded`. A place is
 * given up only when the task is proven gone (docs/safety.md, point 5). Times are seconds of the steady clock.
 */
export class FleetState extends FleetData {
  /** Starts, stops and ends of tasks. */
  readonly assignments: Assignments;
  /** The expiry of workers' leases. */
  readonly leases: MachineLeases;
  /** Fencing of starts that were not acknowledged. */
  readonly fencing: StartFencing;
  /** Applies workers' heartbeats. */
  readonly heartbeats: HeartbeatProcessor;
  /** Orders that don't wait for a heartbeat. */
  readonly directOrders: DirectOrders;

  private readonly makeReplicas: MakeReplicas | undefined;

  constructor(options: FleetOptions) {
    super(options);
    this.makeReplicas = options.makeReplicas;
    this.assignments = new Assignments(this);
    this.leases = new MachineLeases(this, this.assignments);
    this.fencing = new StartFencing(this);
    const tasks = new TaskReconciler(this, this.assignments, this.fencing);
    this.heartbeats = new HeartbeatProcessor(this, this.assignments, this.fencing, tasks);
    this.directOrders = new DirectOrders(this, this.fencing, tasks);
  }

  /** Adds the job of a record; of a known job only a final phase is news. */
  addJob(
    job: Job,
    acceptedAt: number,
    phase: JobState['phase'],
    now: number,
    { shape, dependencies = independent(job) }: JobOptions = {},
  ): JobState {
    const known = this.jobs.get(job.id);
    if (!known) {
      const replicasOf = this.replicaFactory(shape, phase);
      return this.jobs.add(job, acceptedAt, phase, now, { replicasOf, dependencies });
    }
    if (phase !== 'accepted') this.closeJob(known, phase, now);
    return known;
  }

  private replicaFactory(
    shape: ReplicaShape | undefined,
    phase: JobState['phase'],
  ): (job: JobState) => JobReplicas | null {
    const { makeReplicas } = this;
    if (!shape || phase !== 'accepted' || !makeReplicas) return () => null;
    return (job) => makeReplicas(job, shape);
  }

  /** Dependents have come or gone: another rank counts for the job and for what it has running. */
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

  /** The cloud has confirmed that it deprovisioned the machine: it and all that was on it are gone. */
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
