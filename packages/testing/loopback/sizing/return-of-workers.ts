import type { LoopbackCluster } from './cluster.js';
import type { AnsweredHeartbeat } from './heartbeat-log.js';
import { waitFor } from './wait.js';

/** A moment at which so many reports had been answered, and what the answering controller had used by then. */
export interface Milestone {
  atMs: number;
  /** Seconds since the start of that controller. */
  processorS: number;
  /** To the state service, since the start of the measurement. */
  stateRequests: number;
}

/** Watches how the workers of a fleet find a new owner after the former one has ended. */
export class WorkerReconnection {
  /** Milliseconds of this process's steady clock. */
  readonly startedAtMs = performance.now();
  private readonly waitingMachines: Set<string>;
  private readonly unsubscribe: () => void;
  private firstAnswer: Milestone | null = null;
  private lastAnswer: Milestone | null = null;

  /** Answers of the former owner that are still on their way do not count. */
  constructor(
    private readonly cluster: LoopbackCluster,
    private readonly formerLeader: string | null,
  ) {
    this.waitingMachines = new Set(cluster.fleet.workers().map(({ machine }) => machine));
    this.unsubscribe = cluster.heartbeats.onAnswered((heartbeat) => this.recordAnswer(heartbeat));
  }

  /** The first answered report; rejects with TooLate. */
  first(timeoutS: number): Promise<Milestone> {
    return waitFor('an answered report', timeoutS, () => this.firstAnswer);
  }

  /** The report by which all workers had been answered; rejects with TooLate. */
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
