import type { LoopbackCluster } from './cluster.js';
import type { AnsweredHeartbeat } from './heartbeat-log.js';
import { waitFor } from './wait.js';

/** When a heartbeat was answered, and what the answering controller had used by then. */
export interface Milestone {
  atMs: number;
  /** Processor time of the answering controller since its start, in seconds. */
  processorS: number;
  /** Requests of the answering controller to the state service since the cluster was started. */
  stateRequests: number;
}

/** Observes the workers of a fleet until each has an answer of a new leader. */
export class WorkerReconnection {
  /** Milliseconds of the measuring process's monotonic clock. */
  readonly startedAtMs = performance.now();
  private readonly waitingMachines: Set<string>;
  private readonly unsubscribe: () => void;
  private firstAnswer: Milestone | null = null;
  private lastAnswer: Milestone | null = null;

  /** Answers of `formerLeader` that are still in flight do not count; null if no controller was running. */
  constructor(
    private readonly cluster: LoopbackCluster,
    private readonly formerLeader: string | null,
  ) {
    this.waitingMachines = new Set(cluster.fleet.workers().map(({ machine }) => machine));
    this.unsubscribe = cluster.heartbeats.onAnswered((heartbeat) => this.recordAnswer(heartbeat));
  }

  /** Resolves with the first answered heartbeat; rejects with WaitTimeoutError. */
  first(timeoutS: number): Promise<Milestone> {
    return waitFor('an answered heartbeat', timeoutS, () => this.firstAnswer);
  }

  /** Resolves with the answer that completed the set of all workers; rejects with WaitTimeoutError. */
  async all(timeoutS: number): Promise<Milestone> {
    await waitFor('answers to all workers', timeoutS, () => this.checkComplete());
    this.unsubscribe();
    return this.lastAnswer!;
  }

  private checkComplete(): true | null {
    for (const machine of this.waitingMachines) {
      if (this.cluster.fleet.worker(machine) === undefined) this.waitingMachines.delete(machine);
    }
    return this.waitingMachines.size === 0 && this.lastAnswer !== null ? true : null;
  }

  private recordAnswer({ machine, controller: name, atMs }: AnsweredHeartbeat): void {
    const controller = this.cluster.controllers.find((each) => each.name === name);
    if (name === this.formerLeader || !controller?.running || !this.waitingMachines.delete(machine))
      return;
    const processorS = controller.processorS();
    const stateRequests = this.cluster.stateRequestsOf(controller);
    this.lastAnswer = { atMs, processorS, stateRequests };
    this.firstAnswer ??= this.lastAnswer;
  }
}
