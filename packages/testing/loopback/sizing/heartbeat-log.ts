import type { HeartbeatExchange, HeartbeatObserver } from '../../stand-ins/index.js';

/** A heartbeat that a controller answered as the leader. */
export interface AnsweredHeartbeat {
  machine: string;
  controller: string;
  /** When the answer arrived, in milliseconds of the measuring process's monotonic clock. */
  atMs: number;
}

type Listener = (heartbeat: AnsweredHeartbeat) => void;

/** HTTP status of the answer that renews a worker's lease. */
const RENEWED = 200;

/** Counts the answers to the heartbeats of all workers of a fleet, and the worker leases that expired. */
export class HeartbeatLog implements HeartbeatObserver {
  /** Number of heartbeats that were answered with 200, by controller. */
  readonly answered = new Map<string, number>();
  /** Number of heartbeats with another answer or none, by controller. */
  readonly notRenewed = new Map<string, number>();
  leasesEnded = 0;
  /** Called for each answer that a worker obeys. */
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

  onAccepted(machine: string, controller: string, fencingToken: number): void {
    this.onObeyed(machine, controller, fencingToken);
  }

  leaseEnded(): void {
    this.leasesEnded++;
  }

  /** Calls the listener for each answered heartbeat until the returned function is called. */
  onAnswered(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }
}
