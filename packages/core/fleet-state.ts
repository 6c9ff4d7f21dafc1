/** The state of a shard's fleet, and the operations that change it. */
import type { Job } from '#wire';
import { taskRef } from './heartbeats/answer-orders.js';
import { Assignments } from './assignments/assignments.js';
import { DirectOrders } from './heartbeats/direct-orders.js';
import { type Dependencies, withoutDependencies } from './model/job-dependencies.js';
import { type FleetOptions, FleetData } from './fleet-data.js';
import { MachineLeases } from './heartbeats/machine-leases.js';
import { assignmentsOf, type JobReplicas, type JobState } from './model/entities.js';
import type { MakeReplicas } from './model/replica-groups.js';
import type { ReplicaShape } from './model/replica-shape.js';
import { HeartbeatProcessor } from './heartbeats/heartbeat-processor.js';
import { StartFencing } from './heartbeats/start-fencing.js';
import { TaskReconciler } from './heartbeats/task-reconciler.js';
import { UnexpectedAttempts } from './heartbeats/unexpected-attempts.js';

/** Properties of a job that are not part of its submission. */
export interface JobOptions {
  /** How the job's tasks form replicas; without it, tasks are not grouped. */
  shape?: ReplicaShape;
  /** How other jobs affect this one; without it, the job has neither dependencies nor dependents. */
  dependencies?: Dependencies;
}

/**
 * The leader's view of the machines, jobs and tasks of a shard. It is a pure state machine: time and messages are
 * passed in as arguments, and changes that must be made durable are listed in `unrecordedChanges`. An assignment is
 * removed only when its task is proven gone (docs/safety.md, point 5). Times are seconds of the monotonic clock.
 */
export class FleetState extends FleetData {
  /** Assigns, stops and ends tasks. */
  readonly assignments: Assignments;
  /** Expires workers' leases. */
  readonly leases: MachineLeases;
  /** Prevents direct starts, and copies of them, from taking effect late. */
  readonly fencing: StartFencing;
  /** Finds attempts that run without an assignment. */
  readonly unexpectedAttempts: UnexpectedAttempts;
  /** Applies workers' heartbeats. */
  readonly heartbeats: HeartbeatProcessor;
  /** Orders that are sent to workers without waiting for a heartbeat. */
  readonly directOrders: DirectOrders;

  private readonly makeReplicas: MakeReplicas | undefined;

  constructor(options: FleetOptions) {
    super(options);
    this.makeReplicas = options.makeReplicas;
    this.assignments = new Assignments(this);
    this.leases = new MachineLeases(this, this.assignments);
    this.fencing = new StartFencing(this);
    this.unexpectedAttempts = new UnexpectedAttempts(this);
    const { assignments, fencing, unexpectedAttempts } = this;
    const tasks = new TaskReconciler(this, assignments, fencing, unexpectedAttempts);
    this.heartbeats = new HeartbeatProcessor(this, this.assignments, this.fencing, tasks);
    this.directOrders = new DirectOrders(this, this.fencing, tasks, unexpectedAttempts);
  }

  /** Adds the job of a record. If the job is already known, only a final phase is applied to it. */
  addJob(
    job: Job,
    acceptedAt: number,
    phase: JobState['phase'],
    now: number,
    { shape, dependencies = withoutDependencies(job) }: JobOptions = {},
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

  /** Changes the effective rank of a job and of its assigned tasks, after dependents were added or removed. */
  changeRank(job: JobState, rank: number, now: number): void {
    if (job.phase === 'accepted' && job.rank !== rank) this.assignments.changeRank(job, rank, now);
  }

  /** Applies a final phase that the state service holds, and stops all tasks of the job. */
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

  /** Removes a machine that the cloud has confirmed as deprovisioned, and ends all tasks that were on it. */
  removeMachine(name: string, now: number): void {
    const machine = this.machines.get(name);
    if (!machine) return;
    this.assignments.endAllOn(machine, now);
    this.machines.remove(machine);
    this.releasedMachines.add(name, now);
    this.holds.release(machine);
    this.machinesWithCommands.delete(machine);
    this.unrecordedChanges.machines.add(name);
  }
}
