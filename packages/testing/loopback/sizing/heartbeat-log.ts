import type { HeartbeatExchange, HeartbeatObserver } from '../../stand-ins/index.js';

/** A report that a controller has answered as the owner. */
export interface AnsweredHeartbeat {
  machine: string;
  controller: string;
  /** When its answer arrived; milliseconds of this process's steady clock. */
  atMs: number;
}

type Listener = (heartbeat: AnsweredHeartbeat) => void;

/** Status of the answer that renews a worker's lease. */
const RENEWED = 200;

/** How all workers of a fleet fare with their reports. */
export class HeartbeatLog implements HeartbeatObserver {
  /** Reports that were answered with 200, and all others, by controller. */
  readonly answered = new Map<string, number>();
  readonly notRenewed = new Map<string, number>();
  leasesEnded = 0;
  /** Told of each answer that a worker obeys. */
  onObeyed: (machine: string, controller: string, fencingToken: number) => void = () => {};
  private readonly listeners = new Set<Listener>();

  exchanged({ machine, controller, status }: HeartbeatExchange): void {
    const renewed = status === RENEWED;
    const counts = renewed ? this.answered : this.notRenewed;
    counts.set(controller, (counts.get(controller) ?? 0) + 1);
    if (!renewed) return;
    const heartbeat = { machine, controller, atMs: performance.now() };
    for (const listener of this.listeners) listener(heartbeat);
  }

  obeyed(machine: string, controller: string, fencingToken: number): void {
    this.onObeyed(machine, controller, fencingToken);
  }

  leaseEnded(): void {
    this.leasesEnded++;
  }

  /** Calls back for each answered report until the returned function is called. */
  onAnswered(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }
}
