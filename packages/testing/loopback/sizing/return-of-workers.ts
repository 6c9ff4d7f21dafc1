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
export class ReturnOfWorkers {
  /** Milliseconds of this process's steady clock. */
  readonly sinceMs = performance.now();
  private readonly waiting: Set<string>;
  private readonly stop: () => void;
  private firstAnswer: Milestone | null = null;
  private lastAnswer: Milestone | null = null;

  /** Answers of the former owner that are still on their way do not count. */
  constructor(
    private readonly cluster: LoopbackCluster,
    private readonly former: string | null,
  ) {
    this.waiting = new Set(cluster.fleet.workers().map(({ machine }) => machine));
    this.stop = cluster.heartbeats.onAnswered((heartbeat) => this.take(heartbeat));
  }

  /** The first answered report; rejects with TooLate. */
  first(withinS: number): Promise<Milestone> {
    return waitFor('an answered report', withinS, () => this.firstAnswer);
  }

  /** The report by which all workers had been answered; rejects with TooLate. */
  async all(withinS: number): Promise<Milestone> {
    await waitFor('answers to all workers', withinS, () => this.complete());
    this.stop();
    return this.lastAnswer!;
  }

  private complete(): true | null {
    for (const machine of this.waiting) {
      if (this.cluster.fleet.worker(machine) === undefined) this.waiting.delete(machine);
    }
    return this.waiting.size === 0 && this.lastAnswer !== null ? true : null;
  }

  private take({ machine, controller: name, atMs }: AnsweredHeartbeat): void {
    const controller = this.cluster.controllers.find((each) => each.name === name);
    if (name === this.former || !controller?.running || !this.waiting.delete(machine)) return;
    const processorS = controller.processorS();
    const stateRequests = this.cluster.stateRequestsOf(controller);
    this.lastAnswer = { atMs, processorS, stateRequests };
    this.firstAnswer ??= this.lastAnswer;
  }
}
